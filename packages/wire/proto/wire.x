/* Messages between vanillahook's processes, ONC RPC version 2 over TCP.

   Every call carries a wire_context_t in its credential, and every reply
   carries one in its verifier, so that load, configuration revision and
   draining state are sent along with the traffic.  Every procedure must be
   safe to receive twice: calls are sent again on a new connection when the
   old connection stops responding.  */

const WIRE_NAME_MAX = 256;
const WIRE_ID_MAX = 512;
const WIRE_HEADER_MAX = 8192;
const WIRE_BODY_MAX = 4194304;
/* A request's body of 4 MiB, and the name of the version in it.  */
const WIRE_SUBMIT_BODY_MAX = 4195328;
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

/* Load of an upstream as its sidecar measures it.  */
struct wire_load_t
{
  /* Running requests, and queued requests that run before a new one.  */
  unsigned int in_flight;
  unsigned int limit;
  unsigned int queued;
  unsigned int wait_ms;      /* Expected wait of a new request in the queue. */
  unsigned int latency_us;   /* Mean time to first byte of recent responses. */
  /* Number of crashes of the upstream since the sending process started.  */
  unsigned int deaths;
  /* The upstream's limit is low while it warms up: it is expected to be
     slow.  */
  bool warming;
};

struct wire_context_t
{
  wire_name_t name;             /* Name of the sending process.  */
  unsigned hyper epoch;       /* Random number of this process start.  */
  /* Revision of the configuration that the sender uses.  */
  unsigned hyper revision;
  unsigned int confirmed_ms;  /* Time since REVISION was confirmed, in ms.  */
  bool draining;
  wire_load_t load;             /* All zero from an entry.  */
  opaque mac[WIRE_MAC_LEN];
};

struct wire_header_t
{
  wire_name_t name;
  string value<WIRE_HEADER_MAX>;
};

/* Request that was in flight when an upstream crashed.  DIGEST is the hash of
   the request's contents, REQUEST the hash of its team and request id, and
   DEATH the number of the crash.  */
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
  wire_name_t instance;        /* Empty in the reply of an entry.  */
  wire_name_t zone;
  bool is_service;
  unsigned int features;      /* FEATURE_ bits of conf/settings.h.  */
  wire_name_t serves<WIRE_SERVES_MAX>;
  unsigned hyper started_ms;  /* Wall-clock time of the process start.  */
  unsigned int orphans;       /* Number of bills whose entry has stopped.  */
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
  unsigned hyper epoch;       /* Epoch of the addressed sidecar; 0: any.  */
  unsigned hyper digest;      /* Hash of method, path and body.  */
  unsigned int deadline_ms;   /* Time left until the deadline; 0: none.  */
  unsigned int cost;          /* Estimated number of tokens.  */
  unsigned int weight;        /* Scheduling weight of the team.  */
  wire_priority_t priority;
  bool idempotent;
  bool key_given;             /* The caller may send the id again.  */
  bool is_suspect;            /* Was in flight when an upstream crashed.  */
  bool stream;
  string method<32>;
  string path<WIRE_HEADER_MAX>;
  wire_header_t headers<WIRE_HEADERS_MAX>;
  opaque body<WIRE_SUBMIT_BODY_MAX>;
  /* WIRE_SUBMIT includes the first WIRE_FETCH, with these arguments.  */
  unsigned int wait_ms;
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

/* Bytes of the upstream's response from OFFSET on.  CODE other than 0 ends the
   attempt; STARTED is then true if the upstream may have executed the
   request.  */
struct wire_answer_t
{
  int code;
  bool started;
  wire_state_t state;
  int status;                 /* HTTP status; 0 before the head arrives. */
  /* Response headers; sent only when OFFSET is 0.  */
  wire_header_t headers<WIRE_HEADERS_MAX>;
  unsigned hyper offset;
  opaque bytes<WIRE_BODY_MAX>;
  bool end;                   /* BYTES ends the response.  */
  unsigned hyper total;       /* Length of the response; set with END.  */
  unsigned hyper digest;      /* Hash of the response; set with END.  */
  unsigned int tokens_in;     /* Set with END if the engine reports it.  */
  unsigned int tokens_out;
  unsigned int retry_after_ms;
  unsigned hyper ended_ms;    /* Wall-clock time of the end; set with END. */
  /* Number of the upstream crash that the attempt caused or was in flight at;
     0: none.  */
  unsigned hyper death;
};

/* EPOCH is that of the sidecar to which the attempt was sent, as in SUBMIT:
   a restarted sidecar has no record of earlier attempts.  */
struct wire_attempt_args_t
{
  wire_id_t attempt;
  unsigned hyper epoch;
};

struct wire_code_res_t
{
  int code;
};

/* Request to a sidecar for its attempt with a request id.  */
struct wire_recall_args_t
{
  wire_name_t team;
  wire_id_t request_id;
};

struct wire_recall_res_t
{
  int code;                   /* 0, or the code for an unknown request.  */
  wire_id_t attempt;            /* Attempt whose response FETCH returns.  */
  unsigned hyper digest;
};

/* UPDATE is the output of confstore_write_update.  */
struct wire_config_push_args_t
{
  opaque update<WIRE_TEXT_MAX>;
};

struct wire_config_pull_args_t
{
  unsigned hyper have;        /* Revision that the caller has.  */
};

/* UPDATE is empty when the caller has the newest revision.  */
struct wire_config_pull_res_t
{
  opaque update<WIRE_TEXT_MAX>;
};

/* BILL_ID consists of the team and the request id.  AT_MS is set only once, by
   the process where the attempt ended, because the ledger files a bill under
   the day of AT_MS.  */
struct wire_bill_t
{
  wire_id_t bill_id;
  wire_name_t team;
  wire_name_t target;
  unsigned hyper at_ms;       /* Wall-clock time.  */
  unsigned int tokens_in;
  unsigned int tokens_out;
  unsigned int cost_micro;    /* Cost in millionths of a price unit.  */
};

/* Bills that the receiver takes over because their entry is stopping.  */
struct wire_bills_hold_args_t
{
  wire_bill_t bills<WIRE_BILLS_MAX>;
};

/* Bills that have been written to the ledger; their copies may be deleted.  */
struct wire_bills_drop_args_t
{
  wire_id_t bill_ids<WIRE_BILLS_MAX>;
};

/* Request for up to MOST bills whose entry has stopped.  The receiver keeps its
   copies until WIRE_BILLS_DROP reports that the bills are written.  */
struct wire_bills_take_args_t
{
  unsigned int most;
};

struct wire_bills_take_res_t
{
  wire_bill_t bills<WIRE_BILLS_MAX>;
};

/* Encoded evidence rows, which the receiver merges with its own.  */
struct wire_evidence_args_t
{
  opaque rows<WIRE_TEXT_MAX>;
};

struct wire_evidence_res_t
{
  opaque rows<WIRE_TEXT_MAX>;
};

/* Order to the engine with a fencing token, FENCE.  */
struct wire_order_args_t
{
  wire_name_t kind;
  wire_name_t subject;
  unsigned hyper fence;
};

/* Status report for operators, a JSON object.  */
struct wire_status_res_t
{
  opaque json<WIRE_TEXT_MAX>;
};

/* Row that the caller sends to the receiver directly, which the caller would
   otherwise write to the store for the receiver to read.  */
struct wire_news_t
{
  wire_name_t key;
  opaque value<WIRE_TEXT_MAX>;
};

/* Request for the rows of a table of the platform's store that the receiver
   has cached.  */
struct wire_rows_args_t
{
  unsigned int table;      /* A rows_table_t of gateway/rows.h.  */
  unsigned hyper after;    /* Newest store version that the caller has.  */
  unsigned int wait_ms;    /* Longest wait for a newer version.  */
  bool whole;              /* Return all rows not deleted, ignore AFTER. */
  bool tells;              /* The caller serves the rows to others.  */
  wire_news_t news<WIRE_NEWS_MAX>;
};

struct wire_row_t
{
  wire_name_t key;
  opaque value<WIRE_BODY_MAX>;
  /* Length of VALUE after decompression; 0: VALUE is not compressed.  */
  unsigned int plain_len;
  unsigned hyper row_version;
  bool deleted;
};

struct wire_row_list_t
{
  wire_row_t rows<WIRE_ROWS_MAX>;
};

struct wire_rows_res_t
{
  int code;                /* A vh_code_t; ROWS are valid only with VH_OK. */
  unsigned hyper newest;   /* Newest store version known to the receiver.  */
  unsigned hyper now_ms;   /* Current time of the store's clock.  */
  unsigned int age_ms;     /* Time since the store confirmed NEWEST.  */
  unsigned hyper said_ms;  /* Store's clock when it confirmed NEWEST.  */
  wire_row_t rows<WIRE_ROWS_MAX>;
  /* Compressed wire_row_list_t that replaces ROWS; PLAIN_LEN is its length
     after decompression.  */
  opaque packed<WIRE_BODY_MAX>;
  unsigned int plain_len;  /* 0: ROWS are not compressed.  */
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
