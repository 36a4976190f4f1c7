#include "policy/burn.h"

#include "base/map.h"
#include "base/mem.h"
#include "policy/crdt.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Fields of a cell of crdt.h; field 0 is the number of additions.  */
  FIELD_REQUESTS = 1,
  FIELD_UNANSWERED,
  FIELD_FIRST_TOKENS,
  FIELD_FIRST_TOKENS_LATE,
  FIELD_BETWEEN_TOKENS,
  FIELD_BETWEEN_TOKENS_LATE,
  FIELD_RATINGS,
  FIELD_RATING_SUM,
  FIELD_COST_SUM,
  FIELDS,
  FORMAT = 1,
  NAME_MAX_BYTES = 512,
  /* Number of hours in a plot.  */
  PLOT_HOURS = 72,
  /* Largest number of names listed below a kind in text and HTML, on average
     two for each split.  */
  LISTED_NAMES_MAX = 8
};

/* Smallest budget; a budget of 0 would give an infinite burn rate.  */
#define BUDGET_MIN 1e-6

/* Epoch lengths: short ones make short windows exact, long ones keep the
   memory for long windows small.  */
enum
{
  TIER_MINUTE,
  TIER_TEN_MINUTES,
  TIER_HOUR,
  TIERS
};

static const struct
{
  uint64_t epoch_ms;
  uint32_t epochs;
} tiers[TIERS]
    = { { 60000, 62 }, { 600000, 38 }, { 3600000, PLOT_HOURS + 2 } };

static const struct
{
  const char *name;
  uint64_t length_ms;
  int tier;
} windows[BURN_WINDOW_COUNT] = {
#define X(symbol, name, seconds)                                              \
  { name, (seconds) * (uint64_t)1000,                                         \
    (seconds) <= 3600    ? TIER_MINUTE                                        \
    : (seconds) <= 21600 ? TIER_TEN_MINUTES                                   \
                         : TIER_HOUR },
  BURN_WINDOWS (X)
#undef X
};

static const char *const kind_names[] = {
#define X(symbol, name) name,
  BURN_KINDS (X)
#undef X
};

static const char *const split_names[] = {
#define X(symbol, name) name,
  BURN_SPLITS (X)
#undef X
};

/* The sums of one objective for one name in one dimension, such as one
   team.  */
typedef struct
{
  uint64_t hash;
  uint64_t objective; /* Hash of the objective's name.  */
  burn_split_t split;
  char *name;
  int keys[TIERS];
} series_t;

typedef struct
{
  /* The objective; its strings point to NAME and TEAM below.  */
  burn_objective_t settings;
  char *name;
  char *team;
  uint64_t hash;
} objective_entry_t;

struct burn
{
  crdt_t *tiers[TIERS];
  objective_entry_t objectives[BURN_OBJECTIVES_MAX];
  size_t objective_count;
  series_t series[BURN_SERIES_MAX];
  size_t series_count;
  map_t *by_hash;
};

burn_t *
burn_create (uint64_t writer, uint32_t cells_max)
{
  burn_t *b = mem_zalloc (sizeof *b);

  for (int t = 0; t < TIERS; t++)
    {
      const crdt_options_t options = { .writer = writer,
                                       .epoch_ms = tiers[t].epoch_ms,
                                       .epochs = tiers[t].epochs,
                                       .fields = FIELDS,
                                       .keys_max = BURN_SERIES_MAX,
                                       .cells_max = cells_max };
      b->tiers[t] = crdt_create (&options);
    }
  b->by_hash = map_create ();
  return b;
}

static void
clear_objectives (burn_t *b)
{
  for (size_t i = 0; i < b->objective_count; i++)
    {
      free (b->objectives[i].name);
      free (b->objectives[i].team);
    }
  b->objective_count = 0;
}

void
burn_destroy (burn_t *b)
{
  if (b == NULL)
    return;
  clear_objectives (b);
  for (size_t i = 0; i < b->series_count; i++)
    free (b->series[i].name);
  map_destroy (b->by_hash);
  for (int t = 0; t < TIERS; t++)
    crdt_destroy (b->tiers[t]);
  free (b);
}

static uint64_t
series_hash (uint64_t objective, burn_split_t split, str_t name)
{
  return str_hash (name, objective + split);
}

static series_t *
series_find (const burn_t *b, uint64_t hash)
{
  return map_get (b->by_hash, str_make ((const char *)&hash, sizeof hash));
}

/* Return the series of NAME, created on first use.  If all series are in use,
   return the series of the name "other", or NULL if there is none.  */
static series_t *
series_find_or_add (burn_t *b, uint64_t objective, burn_split_t split,
                    str_t name)
{
  uint64_t hash = series_hash (objective, split, name);
  series_t *found = series_find (b, hash);

  if (found != NULL)
    return found;
  if (b->series_count == BURN_SERIES_MAX || name.len > NAME_MAX_BYTES)
    return series_find (b, series_hash (objective, split, STR ("other")));
  series_t *s = &b->series[b->series_count++];
  *s = (series_t){ .hash = hash,
                   .objective = objective,
                   .split = split,
                   .name = str_dup (name) };
  for (int t = 0; t < TIERS; t++)
    s->keys[t] = crdt_key_find_or_add (b->tiers[t], hash);
  map_put (b->by_hash, str_make ((const char *)&hash, sizeof hash), s);
  return s;
}

bool
burn_set_objectives (burn_t *b, const burn_objective_t *objectives,
                     size_t count)
{
  size_t kept_count
      = count < BURN_OBJECTIVES_MAX ? count : BURN_OBJECTIVES_MAX;

  clear_objectives (b);
  for (size_t i = 0; i < kept_count; i++)
    {
      objective_entry_t *o = &b->objectives[b->objective_count++];
      o->settings = objectives[i];
      o->name = str_dup (objectives[i].name);
      o->team = str_dup (objectives[i].team);
      o->settings.name = str_from (o->name);
      o->settings.team = str_from (o->team);
      o->hash = str_hash (o->settings.name, 0x62);
      series_find_or_add (b, o->hash, BURN_SPLIT_ALL, STR ("all"));
      /* The series of "other" are created first, for the names that find no
         room later.  */
      for (int split = BURN_SPLIT_TEAM; split < BURN_SPLIT_COUNT; split++)
        series_find_or_add (b, o->hash, (burn_split_t)split, STR ("other"));
    }
  return kept_count == count;
}

static bool
covers_team (const objective_entry_t *o, str_t team)
{
  return o->settings.team.len == 0 || str_eq (o->settings.team, team);
}

static str_t
split_name (const burn_sample_t *sample, burn_split_t split)
{
  switch (split)
    {
    case BURN_SPLIT_TEAM:
      return sample->team;
    case BURN_SPLIT_MODEL:
      return sample->model;
    case BURN_SPLIT_VERSION:
      return sample->version;
    case BURN_SPLIT_ZONE:
      return sample->zone;
    default:
      return STR ("all");
    }
}

static void
add_to_splits (burn_t *b, const objective_entry_t *o,
               const burn_sample_t *sample, const int64_t *fields,
               uint64_t now_ms)
{
  for (int split = 0; split < BURN_SPLIT_COUNT; split++)
    {
      str_t name = split_name (sample, (burn_split_t)split);
      if (name.len == 0)
        continue;
      series_t *s = series_find_or_add (b, o->hash, (burn_split_t)split, name);
      for (int t = 0; s != NULL && t < TIERS; t++)
        crdt_add (b->tiers[t], s->keys[t], now_ms, fields);
    }
}

static void
set_rating_fields (double rating, int64_t *fields)
{
  if (isnan (rating))
    return;
  fields[FIELD_RATINGS] = 1;
  fields[FIELD_RATING_SUM] = crdt_to_fixed_point (fmax (0, fmin (1, rating)));
}

static void
set_request_fields (const burn_objective_t *settings,
                    const burn_sample_t *sample, int64_t *fields)
{
  fields[FIELD_REQUESTS] = 1;
  fields[FIELD_UNANSWERED] = !sample->answered;
  fields[FIELD_COST_SUM] = crdt_to_fixed_point (sample->cost);
  if (sample->answered && sample->first_token_ms > 0)
    {
      fields[FIELD_FIRST_TOKENS] = 1;
      fields[FIELD_FIRST_TOKENS_LATE]
          = sample->first_token_ms > (double)settings->first_token_ms;
    }
  if (sample->answered && sample->between_tokens_ms > 0)
    {
      fields[FIELD_BETWEEN_TOKENS] = 1;
      fields[FIELD_BETWEEN_TOKENS_LATE]
          = sample->between_tokens_ms > (double)settings->between_tokens_ms;
    }
  set_rating_fields (sample->rating, fields);
}

void
burn_observe (burn_t *b, const burn_sample_t *sample, uint64_t now_ms)
{
  for (size_t i = 0; i < b->objective_count; i++)
    {
      const objective_entry_t *o = &b->objectives[i];
      int64_t fields[FIELDS] = { 0 };
      if (!covers_team (o, sample->team))
        continue;
      set_request_fields (&o->settings, sample, fields);
      add_to_splits (b, o, sample, fields, now_ms);
    }
}

void
burn_observe_rating (burn_t *b, const burn_sample_t *sample, uint64_t now_ms)
{
  int64_t fields[FIELDS] = { 0 };

  if (isnan (sample->rating))
    return;
  set_rating_fields (sample->rating, fields);
  for (size_t i = 0; i < b->objective_count; i++)
    if (covers_team (&b->objectives[i], sample->team))
      add_to_splits (b, &b->objectives[i], sample, fields, now_ms);
}

/* Return the harm that the objective allows for each request or rating in
   KIND; 0 if it has no such requirement.  */
static double
kind_budget (const burn_objective_t *settings, burn_kind_t kind)
{
  switch (kind)
    {
    case BURN_KIND_ANSWERED:
      return settings->answered_share > 0
                 ? fmax (BUDGET_MIN, 1 - settings->answered_share)
                 : 0;
    case BURN_KIND_FIRST_TOKEN:
      return settings->first_token_ms > 0
                 ? fmax (BUDGET_MIN, 1 - settings->timely_share)
                 : 0;
    case BURN_KIND_BETWEEN_TOKENS:
      return settings->between_tokens_ms > 0
                 ? fmax (BUDGET_MIN, 1 - settings->timely_share)
                 : 0;
    case BURN_KIND_QUALITY:
      return settings->quality_target > 0
                 ? fmax (BUDGET_MIN, 1 - settings->quality_target)
                 : 0;
    default:
      return fmax (0, settings->cost_budget);
    }
}

/* Return the harm, count and burn rate for the sums in FIELDS.  */
static burn_rate_t
rate_from_sums (const int64_t *fields, burn_kind_t kind, double budget)
{
  burn_rate_t r = { 0, 0, 0 };

  switch (kind)
    {
    case BURN_KIND_ANSWERED:
      r.count = (double)fields[FIELD_REQUESTS];
      r.harm = (double)fields[FIELD_UNANSWERED];
      break;
    case BURN_KIND_FIRST_TOKEN:
      r.count = (double)fields[FIELD_FIRST_TOKENS];
      r.harm = (double)fields[FIELD_FIRST_TOKENS_LATE];
      break;
    case BURN_KIND_BETWEEN_TOKENS:
      r.count = (double)fields[FIELD_BETWEEN_TOKENS];
      r.harm = (double)fields[FIELD_BETWEEN_TOKENS_LATE];
      break;
    case BURN_KIND_QUALITY:
      r.count = (double)fields[FIELD_RATINGS];
      r.harm
          = r.count - (double)fields[FIELD_RATING_SUM] / CRDT_FIXED_POINT_ONE;
      break;
    default:
      r.count = (double)fields[FIELD_REQUESTS];
      r.harm = (double)fields[FIELD_COST_SUM] / CRDT_FIXED_POINT_ONE;
      break;
    }
  if (r.count > 0 && budget > 0)
    r.rate = r.harm / r.count / budget;
  return r;
}

/* Add the sums of series S in the epochs FIRST to LAST of TIER to FIELDS.  */
static void
sum_epochs (const burn_t *b, const series_t *s, int tier, uint64_t first,
            uint64_t last, int64_t out[FIELDS])
{
  memset (out, 0, FIELDS * sizeof *out);
  for (uint64_t epoch = first; epoch <= last; epoch++)
    {
      const int64_t *sums = crdt_sums (b->tiers[tier], s->keys[tier], epoch);
      for (int f = 0; sums != NULL && f < FIELDS; f++)
        out[f] += sums[f];
    }
}

static burn_rate_t
series_rate (const burn_t *b, const burn_objective_t *settings,
             burn_kind_t kind, const series_t *s, burn_window_t window,
             uint64_t now_ms)
{
  int tier = windows[window].tier;
  uint64_t last = crdt_epoch_at (b->tiers[tier], now_ms);
  uint64_t length = windows[window].length_ms / tiers[tier].epoch_ms;
  int64_t fields[FIELDS];

  /* The current epoch has just begun, so the window includes one epoch
     more.  */
  sum_epochs (b, s, tier, last > length ? last - length : 0, last, fields);
  return rate_from_sums (fields, kind, kind_budget (settings, kind));
}

burn_rate_t
burn_rate (const burn_t *b, size_t index, burn_kind_t kind, burn_split_t split,
           str_t name, burn_window_t window, uint64_t now_ms)
{
  if (index >= b->objective_count)
    return (burn_rate_t){ 0, 0, 0 };
  const objective_entry_t *o = &b->objectives[index];
  str_t series_name = split == BURN_SPLIT_ALL ? STR ("all") : name;
  const series_t *s
      = series_find (b, series_hash (o->hash, split, series_name));
  if (s == NULL)
    return (burn_rate_t){ 0, 0, 0 };
  return series_rate (b, &o->settings, kind, s, window, now_ms);
}

double
burn_budget_left (const burn_t *b, size_t index, burn_kind_t kind,
                  uint64_t now_ms)
{
  return 1
         - burn_rate (b, index, kind, BURN_SPLIT_ALL, STR_NULL, BURN_3D,
                      now_ms)
               .rate;
}

/* A line of the report: one objective and one kind of requirement.  */
typedef struct
{
  const objective_entry_t *objective;
  burn_kind_t kind;
  const series_t *all_names;
  burn_rate_t rates[BURN_WINDOW_COUNT];
  const char *state;
} report_line_t;

/* Fill LINE.  Return false if the objective has no requirement of KIND.  */
static bool
fill_report_line (const burn_t *b, size_t index, burn_kind_t kind,
                  uint64_t now_ms, report_line_t *line)
{
  const objective_entry_t *o = &b->objectives[index];

  if (kind_budget (&o->settings, kind) <= 0)
    return false;
  line->objective = o;
  line->kind = kind;
  line->all_names
      = series_find (b, series_hash (o->hash, BURN_SPLIT_ALL, STR ("all")));
  if (line->all_names == NULL)
    return false;
  for (int w = 0; w < BURN_WINDOW_COUNT; w++)
    line->rates[w] = series_rate (b, &o->settings, kind, line->all_names,
                                  (burn_window_t)w, now_ms);
  line->state = "ok";
  if (line->rates[BURN_6H].rate > BURN_TICKET_RATE_MIN
      && line->rates[BURN_3D].rate > BURN_TICKET_RATE_MIN)
    line->state = "ticket";
  if (line->rates[BURN_5M].rate >= BURN_PAGE_RATE_MIN
      && line->rates[BURN_1H].rate >= BURN_PAGE_RATE_MIN)
    line->state = "page";
  return true;
}

typedef struct
{
  const series_t *series;
  burn_rate_t rates[BURN_WINDOW_COUNT];
} contributor_t;

static int
compare_contributors (const void *a, const void *b)
{
  const contributor_t *left = a;
  const contributor_t *right = b;
  double by_harm = right->rates[BURN_1H].harm - left->rates[BURN_1H].harm;

  if (by_harm == 0)
    by_harm = right->rates[BURN_3D].harm - left->rates[BURN_3D].harm;
  if (by_harm != 0)
    return by_harm > 0 ? 1 : -1;
  if (left->series->split != right->series->split)
    return left->series->split > right->series->split ? 1 : -1;
  return strcmp (left->series->name, right->series->name);
}

/* Store the names for which the objective of LINE was measured in the last
   three days, sorted by their harm in the last hour, largest first.  Return
   their number.  */
static size_t
collect_contributors (const burn_t *b, const report_line_t *line,
                      uint64_t now_ms, contributor_t out[BURN_SERIES_MAX])
{
  size_t count = 0;

  for (size_t i = 0; i < b->series_count; i++)
    {
      const series_t *s = &b->series[i];
      if (s->objective != line->objective->hash || s->split == BURN_SPLIT_ALL)
        continue;
      contributor_t *c = &out[count];
      c->series = s;
      for (int w = 0; w < BURN_WINDOW_COUNT; w++)
        c->rates[w] = series_rate (b, &line->objective->settings, line->kind,
                                   s, (burn_window_t)w, now_ms);
      count += c->rates[BURN_3D].count > 0;
    }
  qsort (out, count, sizeof *out, compare_contributors);
  return count;
}

static double
budget_left (const report_line_t *line)
{
  return 1 - line->rates[BURN_3D].rate;
}

static void
append_text_rates (const burn_rate_t *rates, buf_t *out)
{
  for (int w = 0; w < BURN_WINDOW_COUNT; w++)
    if (rates[w].count > 0)
      buf_printf (out, " %7.2f", rates[w].rate);
    else
      buf_printf (out, " %7s", "-");
}

static void
append_text_line (const burn_t *b, const report_line_t *line, uint64_t now_ms,
                  buf_t *out)
{
  contributor_t contributors[BURN_SERIES_MAX];
  size_t count = collect_contributors (b, line, now_ms, contributors);

  buf_printf (out, "  %-24s", kind_names[line->kind]);
  append_text_rates (line->rates, out);
  buf_printf (out, " %6.1f%%  %s\n", budget_left (line) * 100, line->state);
  for (size_t i = 0; i < count && i < LISTED_NAMES_MAX; i++)
    {
      const series_t *s = contributors[i].series;
      if (contributors[i].rates[BURN_3D].harm <= 0)
        continue;
      int len = (int)strlen (split_names[s->split]);
      buf_printf (out, "    %s %-*s", split_names[s->split], 21 - len,
                  s->name);
      append_text_rates (contributors[i].rates, out);
      buf_append_char (out, '\n');
    }
}

void
burn_write_text (const burn_t *b, uint64_t now_ms, buf_t *out)
{
  if (b->objective_count == 0)
    buf_printf (out, "No objective is configured.\n");
  for (size_t i = 0; i < b->objective_count; i++)
    {
      const burn_objective_t *settings = &b->objectives[i].settings;
      buf_printf (out, "%-26s", b->objectives[i].name);
      for (int w = 0; w < BURN_WINDOW_COUNT; w++)
        buf_printf (out, " %7s", windows[w].name);
      buf_printf (out, "    left  state%s%.*s\n",
                  settings->team.len > 0 ? "  team " : "",
                  STR_ARG (settings->team));
      for (int kind = 0; kind < BURN_KIND_COUNT; kind++)
        {
          report_line_t line;
          if (fill_report_line (b, i, (burn_kind_t)kind, now_ms, &line))
            append_text_line (b, &line, now_ms, out);
        }
    }
}

static void
append_json_rates (const burn_rate_t *rates, buf_t *out)
{
  buf_printf (out, "\"windows\":{");
  for (int w = 0; w < BURN_WINDOW_COUNT; w++)
    buf_printf (out, "%s\"%s\":{\"rate\":%.6g,\"harm\":%.6g,\"count\":%.0f}",
                w > 0 ? "," : "", windows[w].name, rates[w].rate,
                rates[w].harm, rates[w].count);
  buf_append_char (out, '}');
}

static void
append_json_line (const burn_t *b, const report_line_t *line, uint64_t now_ms,
                  buf_t *out)
{
  contributor_t contributors[BURN_SERIES_MAX];
  size_t count = collect_contributors (b, line, now_ms, contributors);

  buf_printf (out, "{\"kind\":\"%s\",\"state\":\"%s\",\"budget_left\":%.6g,",
              kind_names[line->kind], line->state, budget_left (line));
  append_json_rates (line->rates, out);
  buf_printf (out, ",\"by\":[");
  for (size_t i = 0; i < count; i++)
    {
      const series_t *s = contributors[i].series;
      buf_printf (out, "%s{\"split\":\"%s\",\"name\":\"", i > 0 ? "," : "",
                  split_names[s->split]);
      buf_append_json_escaped (out, str_from (s->name));
      buf_printf (out, "\",");
      append_json_rates (contributors[i].rates, out);
      buf_append_char (out, '}');
    }
  buf_printf (out, "]}");
}

void
burn_write_json (const burn_t *b, uint64_t now_ms, buf_t *out)
{
  buf_printf (out, "{\"now_ms\":%llu,\"objectives\":[",
              (unsigned long long)now_ms);
  for (size_t i = 0; i < b->objective_count; i++)
    {
      const char *comma = "";
      buf_printf (out, "%s{\"name\":\"", i > 0 ? "," : "");
      buf_append_json_escaped (out, b->objectives[i].settings.name);
      buf_printf (out, "\",\"team\":\"");
      buf_append_json_escaped (out, b->objectives[i].settings.team);
      buf_printf (out, "\",\"kinds\":[");
      for (int kind = 0; kind < BURN_KIND_COUNT; kind++)
        {
          report_line_t line;
          if (!fill_report_line (b, i, (burn_kind_t)kind, now_ms, &line))
            continue;
          buf_printf (out, "%s", comma);
          append_json_line (b, &line, now_ms, out);
          comma = ",";
        }
      buf_printf (out, "]}");
    }
  buf_printf (out, "]}\n");
}

static void
append_html_escaped (const char *text, buf_t *out)
{
  for (; *text != '\0'; text++)
    switch (*text)
      {
      case '<':
        buf_printf (out, "&lt;");
        break;
      case '>':
        buf_printf (out, "&gt;");
        break;
      case '&':
        buf_printf (out, "&amp;");
        break;
      case '"':
        buf_printf (out, "&quot;");
        break;
      default:
        buf_append_char (out, *text);
      }
}

enum
{
  PLOT_WIDTH = 720,
  PLOT_HEIGHT = 150,
  PLOT_LEFT = 60,
  PLOT_BOTTOM = 30,
  LABEL_HEIGHT_MAX = 24 /* Label height on a phone, in the plot's units.  */
};

/* Return the vertical position of RATE in a plot whose largest rate is
   RATE_MAX.  */
static double
plot_y (double rate, double rate_max)
{
  return (PLOT_HEIGHT - PLOT_BOTTOM) * (1 - fmin (rate, rate_max) / rate_max)
         + 4;
}

static void
append_plot_line (double rate, double rate_max, const char *label, buf_t *out)
{
  double y = plot_y (rate, rate_max);

  buf_printf (out,
              "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' class='rule'/>"
              "<text x='%d' y='%.1f' class='axis' text-anchor='end'>%s"
              "</text>\n",
              PLOT_LEFT, PLOT_WIDTH, y, y, PLOT_LEFT - 4, y + 4, label);
}

/* Append an HTML bar chart of the burn rate in each hour of the last three
   days.  */
static void
append_html_plot (const burn_t *b, const report_line_t *line, uint64_t now_ms,
                  buf_t *out)
{
  uint64_t last = crdt_epoch_at (b->tiers[TIER_HOUR], now_ms);
  double budget = kind_budget (&line->objective->settings, line->kind);
  double step = (double)(PLOT_WIDTH - PLOT_LEFT) / PLOT_HOURS;
  burn_rate_t hours[PLOT_HOURS];
  double rate_max = 2;

  for (uint64_t h = 0; h < PLOT_HOURS; h++)
    {
      int64_t fields[FIELDS];
      uint64_t ago = PLOT_HOURS - 1 - h;
      uint64_t epoch = last > ago ? last - ago : 0;
      sum_epochs (b, line->all_names, TIER_HOUR, epoch, epoch, fields);
      hours[h] = rate_from_sums (fields, line->kind, budget);
      rate_max = fmax (rate_max,
                       fmin (hours[h].rate * 1.1, 2 * BURN_PAGE_RATE_MIN));
    }
  buf_printf (out,
              "<svg viewBox='0 0 %d %d' role='img' aria-label='Burn rate of "
              "%s by hour over three days'>\n",
              PLOT_WIDTH, PLOT_HEIGHT, kind_names[line->kind]);
  for (int h = 0; h < PLOT_HOURS; h++)
    {
      double y = plot_y (hours[h].rate, rate_max);
      if (hours[h].count <= 0)
        continue;
      buf_printf (out,
                  "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' "
                  "class='%s'><title>%d h ago: %.2f on %.0f</title></rect>\n",
                  PLOT_LEFT + h * step, y, step - 1,
                  plot_y (0, rate_max) - y + 1,
                  hours[h].rate >= BURN_PAGE_RATE_MIN    ? "page"
                  : hours[h].rate > BURN_TICKET_RATE_MIN ? "ticket"
                                                         : "ok",
                  PLOT_HOURS - 1 - h, hours[h].rate, hours[h].count);
    }
  append_plot_line (0, rate_max, "0", out);
  /* With a large RATE_MAX the labels of 0 and 1 would overlap.  */
  bool has_label_room
      = plot_y (0, rate_max) - plot_y (1, rate_max) >= LABEL_HEIGHT_MAX;
  append_plot_line (1, rate_max, has_label_room ? "1" : "", out);
  if (rate_max > BURN_PAGE_RATE_MIN)
    append_plot_line (BURN_PAGE_RATE_MIN, rate_max, "14.4", out);
  buf_printf (out,
              "<text x='%d' y='%d' class='axis'>3 days ago</text>"
              "<text x='%d' y='%d' class='axis' text-anchor='end'>now</text>"
              "\n</svg>\n",
              PLOT_LEFT, PLOT_HEIGHT - 4, PLOT_WIDTH, PLOT_HEIGHT - 4);
}

/* Append an HTML bar that shows the remaining budget.  */
static void
append_html_budget_bar (const report_line_t *line, buf_t *out)
{
  double left = fmax (0, fmin (1, budget_left (line)));

  buf_printf (out,
              "<svg viewBox='0 0 720 14' role='img' aria-label='Budget left'>"
              "<rect x='0' y='2' width='720' height='10' class='track'/>"
              "<rect x='0' y='2' width='%.1f' height='10' class='%s'/></svg>"
              "\n",
              720 * left, line->state);
}

static void
append_html_rates (const burn_rate_t *rates, buf_t *out)
{
  for (int w = 0; w < BURN_WINDOW_COUNT; w++)
    if (rates[w].count > 0)
      buf_printf (out, "<td>%.2f</td>", rates[w].rate);
    else
      buf_printf (out, "<td>&ndash;</td>");
  buf_printf (out, "</tr>\n");
}

static void
append_html_line (const burn_t *b, const report_line_t *line, uint64_t now_ms,
                  buf_t *out)
{
  contributor_t contributors[BURN_SERIES_MAX];
  size_t count = collect_contributors (b, line, now_ms, contributors);

  buf_printf (out,
              "<section><h3>%s <span class='%s'>%s</span></h3>\n"
              "<p>%.1f%% of the three days' budget left</p>\n",
              kind_names[line->kind], line->state, line->state,
              budget_left (line) * 100);
  append_html_budget_bar (line, out);
  append_html_plot (b, line, now_ms, out);
  buf_printf (out, "<table><tr><th>burn rate</th>");
  for (int w = 0; w < BURN_WINDOW_COUNT; w++)
    buf_printf (out, "<th>%s</th>", windows[w].name);
  buf_printf (out, "</tr>\n<tr><td>all</td>");
  append_html_rates (line->rates, out);
  for (size_t i = 0; i < count && i < LISTED_NAMES_MAX; i++)
    {
      const series_t *s = contributors[i].series;
      if (contributors[i].rates[BURN_3D].harm <= 0)
        continue;
      buf_printf (out, "<tr><td>%s ", split_names[s->split]);
      append_html_escaped (s->name, out);
      buf_printf (out, "</td>");
      append_html_rates (contributors[i].rates, out);
    }
  buf_printf (out, "</table></section>\n");
}

static const char html_head[]
    = "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>\n"
      "<meta name='viewport' content='width=device-width,initial-scale=1'>\n"
      "<title>Service-level burn</title>\n<style>\n"
      "body{font:16px/1.4 system-ui,sans-serif;max-width:46rem;margin:0 auto;"
      "padding:0 .8rem;color:#111;background:#fff}\n"
      "svg{width:100%;height:auto;display:block}\n"
      "table{border-collapse:collapse;width:100%;"
      "font-variant-numeric:tabular-nums}\n"
      "td,th{padding:.2rem .3rem;text-align:right;"
      "border-bottom:1px solid #ccc}\n"
      "td:first-child,th:first-child{text-align:left;"
      "overflow-wrap:anywhere}\n"
      ".rule{stroke:#888;stroke-dasharray:3 3}.track{fill:#ddd}\n"
      ".axis{font-size:13px;fill:#444}\n"
      "rect.ok{fill:#2b6cb0}rect.ticket{fill:#c05600}"
      "rect.page{fill:#a3002b}\n"
      "span.ok,span.ticket,span.page{font-size:.8em;padding:0 .4em;"
      "border:1px solid}\n"
      "span.ok{color:#2b6cb0}span.ticket{color:#c05600}"
      "span.page{color:#a3002b}\n"
      "@media(max-width:30rem){.axis{font-size:24px}"
      "table{font-size:.8rem}td,th{padding:.2rem .15rem}}\n"
      "@media print{body{max-width:none;font-size:11pt}"
      "section{break-inside:avoid}h2,h3{break-after:avoid}"
      "rect,span{print-color-adjust:exact;"
      "-webkit-print-color-adjust:exact}}\n"
      "</style></head><body>\n<h1>Service-level burn</h1>\n"
      "<p>1 spends the budget exactly; <b>page</b>: 14.4 or more over 5 "
      "minutes and 1 hour; <b>ticket</b>: over 1 in 6 hours and 3 days.</p>"
      "\n";

void
burn_write_html (const burn_t *b, uint64_t now_ms, buf_t *out)
{
  buf_append_str (out, str_from (html_head));
  if (b->objective_count == 0)
    buf_printf (out, "<p>No objective is configured.</p>\n");
  for (size_t i = 0; i < b->objective_count; i++)
    {
      buf_printf (out, "<h2>");
      append_html_escaped (b->objectives[i].name, out);
      if (b->objectives[i].settings.team.len > 0)
        {
          buf_printf (out, " (team ");
          append_html_escaped (b->objectives[i].team, out);
          buf_append_char (out, ')');
        }
      buf_printf (out, "</h2>\n");
      for (int kind = 0; kind < BURN_KIND_COUNT; kind++)
        {
          report_line_t line;
          if (fill_report_line (b, i, (burn_kind_t)kind, now_ms, &line))
            append_html_line (b, &line, now_ms, out);
        }
    }
  buf_printf (out, "</body></html>\n");
}

static int
compare_series (const void *a, const void *b)
{
  const series_t *left = *(const series_t *const *)a;
  const series_t *right = *(const series_t *const *)b;

  return (left->hash > right->hash) - (left->hash < right->hash);
}

void
burn_write_state (const burn_t *b, bool own_only, buf_t *out)
{
  const series_t *sorted[BURN_SERIES_MAX];

  for (size_t i = 0; i < b->series_count; i++)
    sorted[i] = &b->series[i];
  qsort (sorted, b->series_count, sizeof (const series_t *), compare_series);
  crdt_write_varint (out, FORMAT);
  crdt_write_varint (out, b->series_count);
  for (size_t i = 0; i < b->series_count; i++)
    {
      str_t name = str_from (sorted[i]->name);
      crdt_write_varint (out, sorted[i]->objective);
      crdt_write_varint (out, sorted[i]->split);
      crdt_write_varint (out, name.len);
      buf_append_str (out, name);
    }
  for (int t = 0; t < TIERS; t++)
    {
      buf_t part = BUF_NULL;
      crdt_write (b->tiers[t], own_only, &part);
      crdt_write_varint (out, part.len);
      buf_append_str (out, buf_str (&part));
      buf_free (&part);
    }
}

static bool
read_series (str_t *rest, uint64_t *objective, uint64_t *split, str_t *name)
{
  return crdt_read_varint (rest, objective) && crdt_read_varint (rest, split)
         && *split < BURN_SPLIT_COUNT && crdt_read_string (rest, name)
         && name->len <= NAME_MAX_BYTES;
}

vh_code_t
burn_merge (burn_t *b, str_t bytes, uint64_t now_ms)
{
  uint64_t format, count;
  uint64_t objective = 0;
  uint64_t split = 0;
  str_t name = STR_NULL;
  str_t parts[TIERS];

  if (!crdt_read_varint (&bytes, &format) || format != FORMAT
      || !crdt_read_varint (&bytes, &count) || count > BURN_SERIES_MAX)
    return VH_E_PROTOCOL;
  str_t names = bytes;
  for (uint64_t i = 0; i < count; i++)
    if (!read_series (&bytes, &objective, &split, &name))
      return VH_E_PROTOCOL;
  for (int t = 0; t < TIERS; t++)
    if (!crdt_read_string (&bytes, &parts[t])
        || !crdt_is_valid (b->tiers[t], parts[t]))
      return VH_E_PROTOCOL;
  if (bytes.len != 0)
    return VH_E_PROTOCOL;
  for (uint64_t i = 0;
       i < count && read_series (&names, &objective, &split, &name); i++)
    series_find_or_add (b, objective, (burn_split_t)split, name);
  for (int t = 0; t < TIERS; t++)
    crdt_merge (b->tiers[t], parts[t], now_ms);
  return VH_OK;
}

void
burn_compact (burn_t *b, uint64_t generation, uint64_t now_ms)
{
  for (int t = 0; t < TIERS; t++)
    {
      uint64_t now_epoch = crdt_epoch_at (b->tiers[t], now_ms);
      uint64_t epoch = crdt_first_epoch (b->tiers[t]);
      for (; epoch + 2 <= now_epoch; epoch++)
        crdt_compact (b->tiers[t], epoch, generation);
    }
}
