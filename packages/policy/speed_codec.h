/* Encoding of the time factors of instances that gateways send each other.

   An encoded list is binary, with numbers in network byte order: a format mark
   of 1 byte, the number of entries in 2, the time stamp in 8, and entries of
   SPEED_CODEC_ENTRY_BYTES in ascending order of their process.

   - An entry names one process of an instance by a hash of the instance id and
     the process incarnation, so a new process under an old id has no entry.
   - Factors from SPEED_CODEC_FACTOR_MIN to SPEED_CODEC_FACTOR_MAX are encoded
     on a logarithmic scale, with a relative error below 1 in 10,000.  Each
     code stands for a factor of that range.
   - Ages are in whole seconds, rounded down, up to SPEED_CODEC_AGE_MAX_MS.

   A list in another format, of another length than its number of entries
   needs, or not in order is refused as a whole.  */

#ifndef POLICY_SPEED_CODEC_H
#define POLICY_SPEED_CODEC_H

#include "base/code.h"
#include "base/str.h"

enum
{
  /* Bounds a list to 5,643 bytes.  */
  SPEED_CODEC_ENTRIES_MAX = 512,
  SPEED_CODEC_HEAD_BYTES = 11,
  SPEED_CODEC_ENTRY_BYTES = 11,
  SPEED_CODEC_AGE_MAX_MS = 255000
};

#define SPEED_CODEC_FACTOR_MIN 0.01
#define SPEED_CODEC_FACTOR_MAX 100.0

typedef struct
{
  uint64_t process; /* From speed_codec_process.  */
  double factor;    /* 1 means as usual; brought into the range.  */
  uint64_t age_ms;  /* Time since the factor was found, before the stamp.  */
} speed_codec_entry_t;

typedef struct
{
  uint64_t stamp_ms; /* Time of the encoding by a clock of the caller.  */
  speed_codec_entry_t entries[SPEED_CODEC_ENTRIES_MAX];
  size_t count;
} speed_codec_list_t;

/* Return the hash for process INCARNATION of instance ID.  */
uint64_t speed_codec_process (str_t id, uint64_t incarnation);
/* Sort the entries of LIST, which are of different processes, and append the
   encoded list to OUT.  */
void speed_codec_encode (speed_codec_list_t *list, buf_t *out);
/* Decode TEXT into LIST.  Return VH_OK, or VH_E_BAD_FIELD with an empty LIST
   if TEXT is not an encoded list.  */
vh_code_t speed_codec_decode (str_t text, speed_codec_list_t *list);
/* Return the entry of PROCESS in LIST, which was decoded or encoded, or NULL
   if there is none.  */
const speed_codec_entry_t *speed_codec_find (const speed_codec_list_t *list,
                                             uint64_t process);

#endif
