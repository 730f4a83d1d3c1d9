/// Owns the sum of all charges and the list of accounts.
#include "transport/memory_budget.h"

#include <assert.h>
#include <string.h>

/// Part of the process's memory that is charged to connections. The other half
/// is left for the program, the directory and the configuration (4 to 10 MB),
/// for free blocks of the allocator, and for responses on their way.
#define MEMORY_DIVISOR 2

/// Least budget, bytes; the program itself needs as much.
#define MEMORY_BYTES_MIN (4u * 1024 * 1024)

/// Part of the budget that is left for ordinary connections.
#define RESERVE_DIVISOR 4

/// Descriptors that the platform reserves for files, and those of listeners,
/// signals, the event loop and the store's connections.
#define DESCRIPTORS_FILES 200
#define DESCRIPTORS_PROCESS 32

/// Shares of the descriptors for connections at which their uses end, in
/// eighths.
static const size_t shares[] = {
  [MEMORY_BUDGET_CALLERS] = 5,
  [MEMORY_BUDGET_NODES] = 6,
  [MEMORY_BUDGET_LOCAL] = 7,
  [MEMORY_BUDGET_POOLS] = 8,
};

/// Progress of a new connection, bytes: more than of one that stalls, so that
/// requests that have just arrived are not the first to be shed.
#define PROGRESS_INITIAL (8u * 1024)

/// Progress of a connection that has nearly stopped, bytes: that of 4 KiB/s if
/// it is measured every 250 ms. A new one that sends nothing falls below it
/// after half a second; a head is sent within a few milliseconds.
#define PROGRESS_STALLED 1024u

void
memory_budget_init (struct memory_budget *budget, size_t memory_mb,
                    size_t descriptors, void (*shed) (void *owner))
{
  memset (budget, 0, sizeof *budget);
  TAILQ_INIT (&budget->accounts);
  budget->limit = memory_mb * 1024 * 1024 / MEMORY_DIVISOR;
  if (budget->limit < MEMORY_BYTES_MIN)
    budget->limit = MEMORY_BYTES_MIN;
  budget->reserve = budget->limit / RESERVE_DIVISOR;
  size_t kept = DESCRIPTORS_FILES + DESCRIPTORS_PROCESS;
  /* With fewer descriptors than any deployment has, half of them is kept. */
  budget->descriptors_max
      = descriptors > 2 * kept ? descriptors - kept : descriptors / 2;
  budget->shed = shed;
}

void
memory_account_open (struct memory_account *account,
                     struct memory_budget *budget, void *owner)
{
  *account = (struct memory_account){ .budget = budget,
                                      .progress = PROGRESS_INITIAL,
                                      .owner = owner };
  TAILQ_INSERT_TAIL (&budget->accounts, account, link);
}

void
memory_account_close (struct memory_account *account)
{
  memory_account_charge (account, 0, false);
  TAILQ_REMOVE (&account->budget->accounts, account, link);
  account->budget = NULL;
}

void
memory_account_charge (struct memory_account *account, size_t bytes,
                       bool receiving)
{
  struct memory_budget *budget = account->budget;
  assert (budget->used >= account->bytes);
  budget->used = budget->used - account->bytes + bytes;
  account->bytes = bytes;
  account->receiving = receiving;
}

void
memory_account_measure (struct memory_account *account,
                        uint64_t received_bytes)
{
  uint64_t size = received_bytes - account->received_bytes;
  account->received_bytes = received_bytes;
  account->progress = (account->progress + 3 * size) / 4;
}

bool
memory_account_is_over (const struct memory_account *account)
{
  const struct memory_budget *budget = account->budget;
  bool ordinary = account->bytes <= MEMORY_BUDGET_ORDINARY_BYTES;
  return budget->used > budget->limit - (ordinary ? 0 : budget->reserve);
}

/// @return true when `a` is to be shed before `b`
static bool
is_worse (const struct memory_account *a, const struct memory_account *b)
{
  if (a->progress != b->progress)
    return a->progress < b->progress;
  return a->bytes > b->bytes;
}

/// @param large_only  chooses no ordinary account
static struct memory_account *
choose (const struct memory_budget *budget, bool large_only)
{
  struct memory_account *worst = NULL;
  for (struct memory_account *account = TAILQ_FIRST (&budget->accounts);
       account != NULL; account = TAILQ_NEXT (account, link))
    {
      if (!account->receiving
          || (large_only && account->bytes <= MEMORY_BUDGET_ORDINARY_BYTES))
        continue;
      if (worst == NULL || is_worse (account, worst))
        worst = account;
    }
  return worst;
}

bool
memory_account_settle (struct memory_account *account)
{
  struct memory_budget *budget = account->budget;
  while (memory_account_is_over (account))
    {
      /* Ordinary accounts are shed only when the reserve is used up too. */
      struct memory_account *worst
          = choose (budget, budget->used <= budget->limit);
      if (worst == NULL)
        return false;
      budget->shed (worst->owner);
      assert (!worst->receiving);
    }
  return true;
}

bool
memory_account_blocks_others (const struct memory_account *account)
{
  return account->budget->paused_uses > 0 && account->receiving
         && account->progress < PROGRESS_STALLED;
}

bool
memory_budget_has_descriptor (const struct memory_budget *budget,
                              enum memory_budget_use use)
{
  return budget->descriptors < budget->descriptors_max * shares[use] / 8;
}
