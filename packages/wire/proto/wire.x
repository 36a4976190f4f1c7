/* Messages between vanillahook's processes, ONC RPC version 2 over TCP.

   Every call carries a wire_context_t in its credential and every reply one in
   its verifier, so that load, revision and draining travel with traffic.
   Every procedure may be sent again: calls are moved to a fresh connection
   when the old one goes silent.  */

const WIRE_NAME_MAX = 256;
const WIRE_ID_MAX = 512;
const WIRE_HEADER_MAX = 8192;
const WIRE_BODY_MAX = 4194304;
const WIRE_TEXT_MAX = 4194304;
const WIRE_SERVES_MAX = 256;
const WIRE_HEADERS_MAX = 64;
const WIRE_BILLS_MAX = 1000;
const WIRE_SUSPECTS_MAX = 256;
const WIRE_ROWS_MAX = 20000;
const WIRE_NEWS_MAX = 64;
const WIRE_MAC_LEN = 16;

typedef string wire_name_t<WIRE_NAME_MAX>;
typedef string wire_id_t<WIRE_ID_MAX>;

/* What an upstream carries, as its sidecar sees it.  */
struct wire_load_t
{
  unsigned int in_flight;    /* Running, and what would wait before one more. */
  unsigned int limit;
  unsigned int queued;
  unsigned int wait_ms;      /* A request arriving now would wait.  */
  unsigned int latency_us;   /* Mean of recent answers' first byte.  */
  unsigned int deaths;       /* Of the upstream, since this process began. */
  bool warming;              /* Held low by its limit: slow is expected.  */
};

struct wire_context_t
{
  wire_name_t name;             /* The sending process.  */
  unsigned hyper epoch;       /* Drawn when the process began.  */
  unsigned hyper revision;    /* Configuration in force there.  */
  unsigned int confirmed_ms;  /* Age of that revision's confirmation.  */
  bool draining;
  wire_load_t load;             /* Zero from an entry.  */
  opaque mac[WIRE_MAC_LEN];
};

struct wire_header_t
{
  wire_name_t name;
  string value<WIRE_HEADER_MAX>;
};

/* The request with DIGEST and REQUEST (hash of team and request id) was in
   flight when an upstream died.  */
struct wire_suspect_t
{
  unsigned hyper digest;
  unsigned hyper request;
  unsigned hyper death;
};

struct wire_ping_args_t
{
  unsigned int sequence;
};

struct wire_ping_res_t
{
  unsigned int sequence;
  wire_name_t instance;        /* Empty from an entry.  */
  wire_name_t zone;
  bool is_service;
  unsigned int features;      /* FEATURE_ bits of conf/settings.h.  */
  wire_name_t serves<WIRE_SERVES_MAX>;
  unsigned hyper started_ms;  /* Real time.  */
  unsigned int orphans;       /* Bills whose entry is gone.  */
  wire_suspect_t suspects<WIRE_SUSPECTS_MAX>;
};

enum wire_priority_t
{
  WIRE_PRIORITY_LOW = 0,
  WIRE_PRIORITY_NORMAL = 1,
  WIRE_PRIORITY_HIGH = 2
};

struct wire_submit_args_t
{
  wire_id_t attempt;
  wire_id_t request_id;
  wire_name_t team;
  wire_name_t target;           /* MODEL@VERSION, or a service's name.  */
  unsigned hyper epoch;       /* Of the sidecar; 0: any.  */
  unsigned hyper digest;      /* Of method, path and body.  */
  unsigned int deadline_ms;   /* Left; 0: none.  */
  unsigned int cost;          /* Estimated tokens.  */
  unsigned int weight;        /* Of the team.  */
  wire_priority_t priority;
  bool idempotent;
  bool key_given;             /* The caller may send the id again.  */
  bool is_suspect;            /* Was in flight at an upstream's death.  */
  bool stream;
  string method<32>;
  string path<WIRE_HEADER_MAX>;
  wire_header_t headers<WIRE_HEADERS_MAX>;
  opaque body<WIRE_BODY_MAX>;
  unsigned int wait_ms;       /* The first FETCH rides along.  */
  unsigned int max_bytes;
};

struct wire_fetch_args_t
{
  wire_id_t attempt;
  unsigned hyper epoch;
  unsigned hyper offset;
  unsigned int max_bytes;
  unsigned int wait_ms;
};

enum wire_state_t
{
  WIRE_QUEUED = 0,
  WIRE_RUNNING = 1,
  WIRE_DONE = 2
};

/* Answer bytes from OFFSET on.  CODE other than 0 ends the attempt: STARTED
   tells whether the upstream may have run it.  */
struct wire_answer_t
{
  int code;
  bool started;
  wire_state_t state;
  int status;                 /* HTTP; 0 until the head is known.  */
  wire_header_t headers<WIRE_HEADERS_MAX>; /* With the bytes of offset 0.  */
  unsigned hyper offset;
  opaque bytes<WIRE_BODY_MAX>;
  bool end;
  unsigned hyper total;       /* With END.  */
  unsigned hyper digest;      /* Of the whole answer, with END.  */
  unsigned int tokens_in;     /* With END, when the engine tells.  */
  unsigned int tokens_out;
  unsigned int retry_after_ms;
  unsigned hyper ended_ms;    /* With END: real time of the end.  */
  unsigned hyper death;       /* The upstream died of or with it; 0: no.  */
};

/* EPOCH of the sidecar that the attempt was sent to, as in SUBMIT: after a
   restart it knows nothing of what ran before.  */
struct wire_attempt_args_t
{
  wire_id_t attempt;
  unsigned hyper epoch;
};

struct wire_code_res_t
{
  int code;
};

/* What became of a request id at this sidecar.  */
struct wire_recall_args_t
{
  wire_name_t team;
  wire_id_t request_id;
};

struct wire_recall_res_t
{
  int code;                   /* 0, or no such request.  */
  wire_id_t attempt;            /* To FETCH.  */
  unsigned hyper digest;
};

/* UPDATE is what confstore_write_update makes.  */
struct wire_config_push_args_t
{
  opaque update<WIRE_TEXT_MAX>;
};

struct wire_config_pull_args_t
{
  unsigned hyper have;
};

/* Empty when nothing is lacking.  */
struct wire_config_pull_res_t
{
  opaque update<WIRE_TEXT_MAX>;
};

/* BILL_ID is the team and the request id.  AT_MS is made once, where the
   attempt ended: the ledger files a bill under its day.  */
struct wire_bill_t
{
  wire_id_t bill_id;
  wire_name_t team;
  wire_name_t target;
  unsigned hyper at_ms;       /* Real time.  */
  unsigned int tokens_in;
  unsigned int tokens_out;
  unsigned int cost_micro;    /* Price units in millionths.  */
};

/* Take over these bills: their entry stops.  */
struct wire_bills_hold_args_t
{
  wire_bill_t bills<WIRE_BILLS_MAX>;
};

/* These bills are in the ledger; copies may go.  */
struct wire_bills_drop_args_t
{
  wire_id_t bill_ids<WIRE_BILLS_MAX>;
};

/* Give the caller the bills whose entry is gone; copies stay until it says
   that they are written.  */
struct wire_bills_take_args_t
{
  unsigned int most;
};

struct wire_bills_take_res_t
{
  wire_bill_t bills<WIRE_BILLS_MAX>;
};

/* Opaque evidence rows, merged by the receiver.  */
struct wire_evidence_args_t
{
  opaque rows<WIRE_TEXT_MAX>;
};

struct wire_evidence_res_t
{
  opaque rows<WIRE_TEXT_MAX>;
};

/* An order to the engine under a fencing number.  */
struct wire_order_args_t
{
  wire_name_t kind;
  wire_name_t subject;
  unsigned hyper fence;
};

/* A JSON object for operators.  */
struct wire_status_res_t
{
  opaque json<WIRE_TEXT_MAX>;
};

/* What the asker would else write to the store for the asked to read.  */
struct wire_news_t
{
  wire_name_t key;
  opaque value<WIRE_TEXT_MAX>;
};

/* Rows of a table of the platform's store, as the asked process knows them.  */
struct wire_rows_args_t
{
  unsigned int table;      /* Rows_table_t of gateway/rows.h.  */
  unsigned hyper after;    /* Store version that the asker knows.  */
  unsigned int wait_ms;    /* Longest wait for news.  */
  bool whole;              /* All live rows, whatever AFTER is.  */
  bool tells;              /* The asker tells others what it is told.  */
  wire_news_t news<WIRE_NEWS_MAX>;
};

struct wire_row_t
{
  wire_name_t key;
  opaque value<WIRE_BODY_MAX>;
  unsigned int plain_len;  /* 0: VALUE is plain; else its length once inflated.  */
  unsigned hyper row_version;
  bool deleted;
};

struct wire_row_list_t
{
  wire_row_t rows<WIRE_ROWS_MAX>;
};

struct wire_rows_res_t
{
  int code;                /* Vh_code_t; rows are valid for VH_OK alone.  */
  unsigned hyper newest;   /* Version of the store that is known.  */
  unsigned hyper now_ms;   /* The store's clock.  */
  unsigned int age_ms;     /* Since the store confirmed NEWEST.  */
  unsigned hyper said_ms;  /* The store's clock when it did.  */
  wire_row_t rows<WIRE_ROWS_MAX>;
  /* In their place a wire_row_list_t, deflated, of PLAIN_LEN bytes.  */
  opaque packed<WIRE_BODY_MAX>;
  unsigned int plain_len;  /* 0: not packed.  */
};

program VANILLAHOOK_PROGRAM
{
  version VANILLAHOOK_V1
  {
    wire_ping_res_t WIRE_PING (wire_ping_args_t) = 1;
    wire_answer_t WIRE_SUBMIT (wire_submit_args_t) = 2;
    wire_answer_t WIRE_FETCH (wire_fetch_args_t) = 3;
    wire_code_res_t WIRE_CANCEL (wire_attempt_args_t) = 4;
    wire_code_res_t WIRE_FENCE (wire_attempt_args_t) = 5;
    wire_recall_res_t WIRE_RECALL (wire_recall_args_t) = 6;
    wire_code_res_t WIRE_CONFIG_PUSH (wire_config_push_args_t) = 7;
    wire_config_pull_res_t WIRE_CONFIG_PULL (wire_config_pull_args_t) = 8;
    wire_code_res_t WIRE_BILLS_HOLD (wire_bills_hold_args_t) = 9;
    wire_code_res_t WIRE_BILLS_DROP (wire_bills_drop_args_t) = 10;
    wire_evidence_res_t WIRE_EVIDENCE (wire_evidence_args_t) = 11;
    wire_code_res_t WIRE_ORDER (wire_order_args_t) = 12;
    wire_bills_take_res_t WIRE_BILLS_TAKE (wire_bills_take_args_t) = 14;
    wire_status_res_t WIRE_STATUS (wire_attempt_args_t) = 13;
    wire_rows_res_t WIRE_ROWS (wire_rows_args_t) = 16;
  } = 1;
} = 0x20564801;
