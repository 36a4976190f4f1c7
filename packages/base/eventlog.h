/* Structured event log on standard output.  One line is written for each
   decision about a request, and for each change of the state that decisions
   depend on.

     <6>request: Sent to an upstream. event=request.sent at=12.345 by=entry-1
     id=9c41 upstream=i-7 ...

   (on a single line).  The sentence is for human readers.  The fields are
   KEY=VALUE; a value that contains whitespace, a quote, a backslash or `=' is
   quoted.  LOG_EVENTS and LOG_FIELDS define the events and fields, and
   docs/LOGS.md is generated from them.

   - Rate limit: each event has a limit of lines per second.  Excess lines are
     dropped and counted, and the count is logged as event log.dropped.  A
     flood of one event therefore shows in the log and hides no other event.
   - Blocked reader: lines are written only if poll reports room for a block of
     4096 bytes in the pipe.  Otherwise a full pipe would block the event loop,
     and with it every request.  The other lines are dropped and counted.  */

#ifndef BASE_EVENTLOG_H
#define BASE_EVENTLOG_H

#include "base/clock.h"
#include "base/log.h"
#include "base/str.h"

/* X (symbol, part, name, level, lines per second, sentence).  The limits for
   failures and state changes are far above the rates of a healthy process.
   The limits for successes are low, because a sample of them is enough.  */
#define LOG_EVENTS(X)                                                         \
  X (EVENT_START, "process", "start", NOTICE, 10, "Started")                  \
  X (EVENT_STOP, "process", "stop", NOTICE, 10, "A planned stop begins")      \
  X (EVENT_STOPPED, "process", "stopped", NOTICE, 10, "The stop is over")     \
  X (EVENT_RELOAD, "process", "reload", NOTICE, 10,                           \
     "The settings file was read again")                                      \
  X (EVENT_LOOP_BUSY, "process", "loop-busy", NOTICE, 5,                      \
     "One iteration of the event loop took long")                             \
  X (EVENT_DROPPED, "log", "dropped", WARNING, 100, "Lines were left out")    \
  X (EVENT_STORE_LOST, "store", "lost", WARNING, 20,                          \
     "The store does not answer")                                             \
  X (EVENT_STORE_BACK, "store", "back", NOTICE, 20,                           \
     "The store answers again")                                               \
  X (EVENT_STORE_STALE, "store", "stale", NOTICE, 20,                         \
     "A stale answer is left out")                                            \
  X (EVENT_STORE_FORGOT, "store", "forgot", NOTICE, 20,                       \
     "The history is gone and the table is read anew")                        \
  X (EVENT_STORE_ERA, "store", "era", NOTICE, 20,                             \
     "The store has another era")                                             \
  X (EVENT_TABLE_ERA, "store", "table-era", NOTICE, 20,                       \
     "The store came back from an older copy and the table is read anew")     \
  X (EVENT_STORE_ERA_BAD, "store", "era-unreadable", WARNING, 5,              \
     "The era of a response of the store cannot be read")                     \
  X (EVENT_STORE_CALL, "store", "call-failed", INFO, 20,                      \
     "A call of the store failed")                                            \
  X (EVENT_READER, "store", "reader-failed", INFO, 20,                        \
     "The entry that reads for this one did not answer")                      \
  X (EVENT_CONFIG_TEXT, "config", "received", NOTICE, 20,                     \
     "The text of a configuration arrived")                                   \
  X (EVENT_CONFIG, "config", "accepted", NOTICE, 20,                          \
     "A configuration is in force")                                           \
  X (EVENT_CONFIG_BAD, "config", "unreadable", ERR, 20,                       \
     "A configuration cannot be read")                                        \
  X (EVENT_CONFIG_AGED, "config", "aged", WARNING, 20,                        \
     "The configuration was not confirmed for a while")                       \
  X (EVENT_CONFIG_CONFIRMED, "config", "confirmed", NOTICE, 20,               \
     "The configuration is confirmed again")                                  \
  X (EVENT_LISTED, "pool", "listed", INFO, 100, "An instance is listed")      \
  X (EVENT_UNLISTED, "pool", "unlisted", INFO, 100,                           \
     "An instance is no longer listed")                                       \
  X (EVENT_OUTDATED, "pool", "outdated", INFO, 50,                            \
     "A registration that ended is listed in an older copy")                  \
  X (EVENT_LISTING_BAD, "pool", "unreadable", WARNING, 20,                    \
     "A registration is left out")                                            \
  X (EVENT_LOOKED, "pool", "looked", INFO, 50,                                \
     "A silent instance was looked at")                                       \
  X (EVENT_LIMIT, "pool", "limited", NOTICE, 50,                              \
     "An instance announced a rate limit")                                    \
  X (EVENT_LIMIT_END, "pool", "limit-ended", NOTICE, 50,                      \
     "An instance no longer announces a rate limit")                          \
  X (EVENT_LIMIT_BAD, "pool", "limit-unreadable", WARNING, 5,                 \
     "An announced rate limit cannot be read and is ignored")                 \
  X (EVENT_LIMIT_WRITE, "pool", "limit-write-failed", WARNING, 5,             \
     "A rate limit could not be written for the other entries")               \
  X (EVENT_SPEED_BAD, "pool", "factors-unreadable", WARNING, 5,               \
     "Time factors of another entry cannot be read and are ignored")          \
  X (EVENT_SPEED_WRITE, "pool", "factors-write-failed", WARNING, 5,           \
     "Time factors could not be written for the other entries")               \
  X (EVENT_LEAVING, "pool", "leaving", NOTICE, 50,                            \
     "An instance says that it is leaving")                                   \
  X (EVENT_PAUSE, "pool", "paused", NOTICE, 50,                               \
     "An instance asks for a pause")                                          \
  X (EVENT_PAUSE_END, "pool", "pause-ended", NOTICE, 50,                      \
     "An instance gets requests again after the pause that it asked for")     \
  X (EVENT_PAUSE_BAD, "pool", "pause-unreadable", WARNING, 5,                 \
     "The length of a pause cannot be read and is ignored")                   \
  X (EVENT_SPEED, "pool", "speed", INFO, 20,                                  \
     "The lasting time that work takes at an instance changed")               \
  X (EVENT_CRASH, "pool", "crashed", NOTICE, 50,                              \
     "An instance crashed while requests ran there")                          \
  X (EVENT_CRASH_BAD, "pool", "crash-unreadable", WARNING, 5,                 \
     "A record of a crash cannot be read")                                    \
  X (EVENT_CRASH_WRITE, "pool", "crash-write-failed", WARNING, 5,             \
     "Crashes could not be written to the store")                             \
  X (EVENT_ZONE_OUT, "zone", "out", NOTICE, 20, "A zone is taken out")        \
  X (EVENT_ZONE_KEPT, "zone", "kept", NOTICE, 20,                             \
     "A zone stays out though its row is missing in an older copy")           \
  X (EVENT_ZONE_BACK, "zone", "back", NOTICE, 20, "A zone is taken back")     \
  X (EVENT_ENTRIES, "entries", "count", INFO, 20,                             \
     "The entries known changed")                                             \
  X (EVENT_ENTRY_WRITE, "entries", "write-failed", WARNING, 5,                \
     "This entry could not be listed")                                        \
  X (EVENT_ROLLOUT, "rollout", "ordered", NOTICE, 20, "A version is ordered") \
  X (EVENT_ROLLOUT_KEPT, "rollout", "kept", NOTICE, 20,                       \
     "A roll-out goes on after the store came back from an older copy")       \
  X (EVENT_ROLLOUT_BAD, "rollout", "unreadable", WARNING, 20,                 \
     "An order or evidence cannot be read")                                   \
  X (EVENT_ROLLOUT_STEP, "rollout", "step", NOTICE, 20,                       \
     "A step of a roll-out is written")                                       \
  X (EVENT_ROLLOUT_END, "rollout", "decided", NOTICE, 20,                     \
     "A roll-out is decided")                                                 \
  X (EVENT_ROLLOUT_WRITE, "rollout", "write-failed", WARNING, 10,             \
     "A step or evidence could not be written")                               \
  X (EVENT_BILLS_WRITE, "bills", "write-failed", WARNING, 5,                  \
     "Bills could not be written and wait")                                   \
  X (EVENT_BILLS_DROPPED, "bills", "dropped", ERR, 5,                         \
     "Bills were dropped for want of room")                                   \
  X (EVENT_BUDGET_SPENT, "budget", "spent", NOTICE, 20,                       \
     "An extra send is not made because the service has none left")           \
  X (EVENT_BUDGET_BACK, "budget", "back", NOTICE, 20,                         \
     "The service has extra sends again")                                     \
  X (EVENT_CLIENT_REFUSED, "client", "refused", NOTICE, 5,                    \
     "A client was refused before its request was complete, or closed")       \
  X (EVENT_SENT, "request", "sent", INFO, 40, "Sent to an upstream")          \
  X (EVENT_SEND_FAILED, "request", "send-failed", INFO, 200, "A send failed") \
  X (EVENT_MOVED, "request", "moved", INFO, 50,                               \
     "A stream that would be late moves to another upstream")                 \
  X (EVENT_LARGER, "request", "larger-model", INFO, 20,                       \
     "A doubtful answer gives way to a larger model")                         \
  X (EVENT_ANSWERED, "request", "answered", INFO, 20, "Answered")             \
  X (EVENT_PASSED, "request", "failure-passed", INFO, 200,                    \
     "An upstream's failure was passed on")                                   \
  X (EVENT_REFUSED, "request", "refused", INFO, 200, "Refused")               \
  X (EVENT_FAILED, "request", "failed", INFO, 200, "Failed")                  \
  X (EVENT_CUT, "request", "cut", INFO, 200, "An answer was cut")             \
  X (EVENT_SUSPECTED, "request", "suspected", INFO, 100,                      \
     "A request is suspected of a crash")                                     \
  X (EVENT_SUSPECT_REFUSED, "request", "suspect-refused", INFO, 50,           \
     "A request is not sent because its runs crashed")                        \
  X (EVENT_SUSPECT_TESTED, "request", "suspect-tested", NOTICE, 50,           \
     "A refused request gets a test run")                                     \
  X (EVENT_SUSPECT_CLEARED, "request", "suspect-cleared", INFO, 50,           \
     "A suspected request ran without a crash")                               \
  X (EVENT_LEFT, "request", "left", INFO, 50, "The caller left")

/* X (symbol, key, meaning).  */
#define LOG_FIELDS(X)                                                         \
  X (FIELD_ID, "id", "Attempt id of the request")                             \
  X (FIELD_CONTENT, "content",                                                \
     "Digest of the request's service, team, method, path, query and body")   \
  X (FIELD_PARTS, "parts",                                                    \
     "Digests of service and id of the prompt parts, all but the last")       \
  X (FIELD_ROUTE, "route", "Route that the request matched")                  \
  X (FIELD_TEAM, "team", "Team whose key it bore")                            \
  X (FIELD_SERVICE, "service", "Service")                                     \
  X (FIELD_UPSTREAM, "upstream", "Instance id of the upstream")               \
  X (FIELD_VERSION, "version", "Version of the upstream's software")          \
  X (FIELD_MODEL, "model", "Model named to the upstream")                     \
  X (FIELD_ZONE, "zone", "Availability zone")                                 \
  X (FIELD_STATUS, "status", "HTTP status of the answer, 0: none")            \
  X (FIELD_REASON, "reason", "What decided it; see the causes")               \
  X (FIELD_RAN, "ran", "1: it may have run, 0: it has not")                   \
  X (FIELD_SENDS, "sends", "Sends so far")                                    \
  X (FIELD_RUNS, "runs", "Sends that may have run so far")                    \
  X (FIELD_EVENTS, "events", "Events passed on so far")                       \
  X (FIELD_MS, "ms", "Milliseconds since the request arrived")                \
  X (FIELD_LEFT_MS, "left_ms", "Milliseconds left to answer in")              \
  X (FIELD_TARGET, "target", "Instance id of the upstream it moves to")       \
  X (FIELD_PACE_MS, "pace_ms", "Milliseconds between its last events")        \
  X (FIELD_EVENTS_LEFT, "events_left", "Events assumed as left of it")        \
  X (FIELD_HERE_MS, "here_ms", "Milliseconds to its end where it was")        \
  X (FIELD_THERE_MS, "there_ms", "Milliseconds to its end at the target")     \
  X (FIELD_RETRY_MS, "retry_ms", "Retry-After told, in milliseconds")         \
  X (FIELD_REVISION, "revision", "Revision of the configuration used")        \
  X (FIELD_BEFORE, "before", "What was in force before")                      \
  X (FIELD_AGE_MS, "age_ms", "Age of the configuration's confirmation")       \
  X (FIELD_RUNNING, "running", "Requests of this entry at the upstream")      \
  X (FIELD_EXTRA, "extra", "Extra sends that the service has left here")      \
  X (FIELD_EXTRA_SENDS, "extra_sends",                                        \
     "Extra sends of the service here in the window of the budget")           \
  X (FIELD_REQUESTS, "requests",                                              \
     "Requests for the service here in the window of the budget")             \
  X (FIELD_PART, "part",                                                      \
     "Extra sends of the fixed number that this entry may use")               \
  X (FIELD_ENTRIES, "entries",                                                \
     "Entries that share the fixed number, 0: not known yet")                 \
  X (FIELD_CONFIDENCE, "confidence", "Confidence of the dropped answer")      \
  X (FIELD_TABLE, "table", "Table of the store")                              \
  X (FIELD_ERA, "era",                                                        \
     "Era of the store, which rises when it comes back from an older copy")   \
  X (FIELD_SEQUENCE, "sequence", "Number of the registration's last write")   \
  X (FIELD_SEEN, "seen", "Store version seen before")                         \
  X (FIELD_CODE, "code", "Result code; see CODES.md")                         \
  X (FIELD_COUNT, "count", "How many")                                        \
  X (FIELD_KEY, "key", "Key of the row")                                      \
  X (FIELD_BYTES, "bytes", "Length in bytes")                                 \
  X (FIELD_CONNECTIONS, "connections", "Open connections of clients")         \
  X (FIELD_READ_MS, "read_ms", "Milliseconds since a later text arrived")     \
  X (FIELD_TOOK_MS, "took_ms", "Milliseconds since the call was made")        \
  X (FIELD_READER, "reader", "Entry that reads the store for this one")       \
  X (FIELD_RATE, "rate",                                                      \
     "Requests a second that the instance accepts from all entries")          \
  X (FIELD_SHARE, "share", "Part of the rate that this entry may use")        \
  X (FIELD_SOURCE, "source",                                                  \
     "How it became known: response of the instance, or peer entry")          \
  X (FIELD_LIMITED, "limited",                                                \
     "Instances passed over for the rates that they announced")               \
  X (FIELD_PAUSE_MS, "pause_ms",                                              \
     "For how long the instance wants no requests of this entry")             \
  X (FIELD_PAUSED, "paused", "Instances passed over in their pauses")         \
  X (FIELD_TIME_PERCENT, "time_percent",                                      \
     "Lasting time that work takes there, 100: as usual")                     \
  X (FIELD_OLD_TIME_PERCENT, "old_time_percent",                              \
     "The time of the last such line of the instance, or 100")                \
  X (FIELD_KNOWN_MS, "known_ms", "For how long it was known here")            \
  X (FIELD_VALUE, "value", "Text that cannot be read")                        \
  X (FIELD_DRAINING, "draining", "1: it is leaving")                          \
  X (FIELD_COLD_MS, "cold_ms", "For how much longer it is cold")              \
  X (FIELD_KEEP_MS, "keep_ms", "For how much longer it is used")              \
  X (FIELD_REACHED, "reached", "1: it takes connections, 0: it does not")     \
  X (FIELD_ORDER, "order", "Store version of the order")                      \
  X (FIELD_WITHIN_MS, "within_ms", "Time that the order gives")               \
  X (FIELD_STEP, "step", "Step of the roll-out")                              \
  X (FIELD_FROM, "from", "Store time from which it holds")                    \
  X (FIELD_PHASE, "phase", "Phase of the roll-out")                           \
  X (FIELD_WHY, "why", "Evidence for the decision")                           \
  X (FIELD_OLD, "old", "Answers of the old version at the decision")          \
  X (FIELD_NEW, "new", "Answers of the new version at the decision")          \
  X (FIELD_IN_FLIGHT, "in_flight", "Requests under way")                      \
  X (FIELD_DELAY_MS, "delay_ms",                                              \
     "Milliseconds from the delivery of the signal to this line")             \
  X (FIELD_UNCERTAINTY_MS, "uncertainty_ms",                                  \
     "Milliseconds before its delivery in which the signal may have been "    \
     "sent")                                                                  \
  X (FIELD_CUT, "cut", "Requests cut by the stop")                            \
  X (FIELD_BUSY_MS, "busy_ms", "Milliseconds of work in the iteration")       \
  X (FIELD_WORK, "work", "Kind of work that took most of it")                 \
  X (FIELD_WORK_MS, "work_ms", "Milliseconds that this work took")            \
  X (FIELD_LISTEN, "listen", "Address listened on")                           \
  X (FIELD_FILE, "file", "File")                                              \
  X (FIELD_KIND, "kind", "Event whose lines were left out")

/* X (reason, meaning).  Values of the field `reason', with their meaning for
   operators.  */
#define LOG_CAUSES(X)                                                         \
  X ("full", "Every instance that may run it has all its slots taken, or "    \
             "had its share of requests this second.")                        \
  X ("paused", "Every instance that may run it asked for a pause; see "       \
               "pool.paused.")                                                \
  X ("limited", "Every instance that may run it announced a rate limit, and " \
                "this entry has no request left of it now; see "              \
                "pool.limited.")                                              \
  X ("shed", "Each upstream asked said that it is full and did not run it.")  \
  X ("no-upstream", "No instance of the service and version is in service: "  \
                    "none is listed, or all are leaving or in a zone that "   \
                    "was taken out.")                                         \
  X ("no_upstream", "The route names a service that the configuration does "  \
                    "not have.")                                              \
  X ("connect", "No connection to the instances tried could be made.")        \
  X ("poison", "The instances that ran it crashed; see "                      \
               "`request.suspected' with the same content.")                  \
  X ("suspect", "Another request with the same part in its prompt was sent "  \
                "for longer than a moment, and it is not known yet whether "  \
                "the part crashes instances; see `request.suspected'.")       \
  X ("address", "The instance is listed under an address that is none.")      \
  X ("misdirected", "Another instance has the address now, and refused it.")  \
  X ("cut", "The upstream's connection ended before its answer was whole: "   \
            "it crashed, or the path to it broke.")                           \
  X ("garbled", "The upstream sent bytes that are no HTTP answer.")           \
  X ("foreign-answer", "The upstream's answer was to another request, had "   \
                       "no mac, or was coded.")                               \
  X ("silent", "The upstream sent nothing for too long.")                     \
  X ("no-progress", "The upstream sent bytes for too long, but no whole "     \
                    "head, no event of the stream, or no end of the answer.") \
  X ("unbounded", "The upstream's answer has a head, a line of the chunk "    \
                  "coding, trailers, an event or bytes between two events "   \
                  "that are over the bound.")                                 \
  X ("memory", "Requests and answers took too much memory; of a client that " \
               "is refused, its request began last or made no progress, of "  \
               "an answer, it took the most.")                                \
  X ("unread", "All requests and answers took too much memory, and the "      \
               "client had read nothing of this answer for longest.")         \
  X ("connections", "Too many connections are open, and the client had made " \
                    "no progress for longest.")                               \
  X ("time", "The request did not arrive in time.")                           \
  X ("head", "The head of the request is over the bound.")                    \
  X ("malformed", "Where the request ends is not certain.")                   \
  X ("body", "The body of the request is over the bound.")                    \
  X ("request", "The head shows that the request would be refused: no route " \
                "or key, a bad header, or this entry is stopping.")           \
  X ("slow-caller", "The answers of all requests took too much memory, and "  \
                    "the caller had read less of this one than the others "   \
                    "of theirs.")                                             \
  X ("lost", "The upstream sent nothing and took no connection.")             \
  X ("slow", "The stream would not have ended in time at the upstream and "   \
             "moved to another; see `request.moved'.")                        \
  X ("upstream-error", "The upstream answered with a failure of its own.")    \
  X ("resume-failed", "No upstream went on with the stream.")                 \
  X ("events-out-of-order", "An event of the stream was missing.")            \
  X ("answer-too-large", "The upstream's answer is over the bound.")          \
  X ("deadline", "The caller's deadline or the route's timeout passed.")      \
  X ("store_down", "The configuration was not confirmed by the store "        \
                   "recently enough to trust its keys; see age_ms.")          \
  X ("draining", "This entry is stopping and its grace is over.")             \
  X ("stopping", "This entry's stop ran into its bound.")                     \
  X ("no_route", "No route has this host and path.")                          \
  X ("no_auth", "The request bears no key.")                                  \
  X ("bad_key", "No team holds the key in this revision.")                    \
  X ("bad_header", "A header that the request needs is missing or wrong.")

/* Return the meaning of REASON, or NULL if REASON is not in LOG_CAUSES.  */
const char *log_reason_meaning (str_t reason);

typedef enum
{
#define X(symbol, part, name, level, lines_per_s_max, sentence) symbol,
  LOG_EVENTS (X)
#undef X
      LOG_EVENT_COUNT
} log_event_t;

typedef enum
{
#define X(symbol, key, meaning) symbol,
  LOG_FIELDS (X)
#undef X
      LOG_FIELD_COUNT
} log_field_name_t;

typedef struct
{
  log_field_name_t name;
  bool is_text;
  str_t text;
  uint64_t number;
} log_field_t;

static inline log_field_t
log_field_text (log_field_name_t name, str_t text)
{
  return (log_field_t){ name, true, text, 0 };
}

static inline log_field_t
log_field_number (log_field_name_t name, uint64_t number)
{
  return (log_field_t){ name, false, STR_NULL, number };
}

/* Log EVENT with fields from log_field_text and log_field_number.  */
#define log_event(event, ...)                                                 \
  eventlog_write ((event), (const log_field_t[]){ __VA_ARGS__ },              \
                  sizeof ((const log_field_t[]){ __VA_ARGS__ })               \
                      / sizeof (log_field_t))
void eventlog_write (log_event_t event, const log_field_t *fields,
                     size_t count);

/* Set the process name for the field `by' of each line, and the clock for time
   stamps.  Both are borrowed.  Before the first call, lines have no field
   `by', and time stamps are from the system clock.  */
void eventlog_set_source (str_t process_name, clock_iface_t *clock);
/* Set whether lines are buffered, so that a single system call writes many
   lines, or written at once (the default).  Buffered lines are written by the
   flush functions, and when more than 64 KiB are buffered.  */
void eventlog_set_buffered (bool is_buffered);
/* Write the buffered lines if 2 KiB are buffered or the oldest line is 100 ms
   old.  To be called at the end of each iteration of the event loop.  */
void eventlog_flush_if_due (void);
/* Write the buffered lines.  Lines for which standard output has no room are
   dropped.  */
void eventlog_flush (void);
/* Return the number of lines dropped since the start of the process, by rate
   limits or because standard output had no room.  */
uint64_t eventlog_dropped_lines (void);

/* Table entry of an event, for the documentation and the command line.  */
typedef struct
{
  const char *part;
  const char *name;
  log_level_t level;
  uint32_t lines_per_s_max;
  const char *sentence;
  const char *prefix; /* Start of each line of the event, up to its time.  */
} log_event_info_t;

const log_event_info_t *log_event_info (log_event_t event);
const char *log_field_key (log_field_name_t name);
const char *log_field_meaning (log_field_name_t name);

#endif
