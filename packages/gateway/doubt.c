#include "gateway/doubt.h"

/* One stray wait must not lower the bar by itself.  */
static const double part_max = 2;

void
doubt_observe (doubt_t *doubt, uint64_t wait_ms, uint64_t objective_ms)
{
  if (objective_ms == 0)
    return;
  double part = (double)wait_ms / (double)objective_ms;
  if (part > part_max)
    part = part_max;
  doubt->pressure = doubt->pressure * DOUBT_KEEP + part * (1 - DOUBT_KEEP);
}

uint32_t
doubt_bar (const doubt_t *doubt)
{
  if (doubt->pressure <= DOUBT_CALM)
    return DOUBT_BAR;
  if (doubt->pressure >= DOUBT_PRESSED)
    return DOUBT_BAR_PRESSED;
  double pressed
      = (doubt->pressure - DOUBT_CALM) / (DOUBT_PRESSED - DOUBT_CALM);
  return (uint32_t)(DOUBT_BAR - pressed * (DOUBT_BAR - DOUBT_BAR_PRESSED));
}
