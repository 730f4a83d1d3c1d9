/// Decodes arbitrary bytes as messages of the platform and as records of other
/// nodes. Invariants: an entry record stays the same when it is written and
/// read again; a view that was read can be written; an accepted configuration
/// serves every lookup; evidence has no more failures than calls; accepted
/// load headers are within their ranges; a quota message stays the same when
/// it is written and read again.
#include "platform/platform.h"
#include "protocol/entry_record.h"
#include "protocol/hop.h"
#include "protocol/move_record.h"
#include "protocol/quota_transfer.h"
#include "protocol/target_load.h"
#include "protocol/view.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
fuzz_config (const uint8_t *data, size_t size)
{
  struct mesh_config *config;
  if (platform_read_config (data, size, &config) != STATUS_OK)
    return;
  for (size_t i = 0; i < config->route_count; i++)
    {
      struct mesh_route *route = &config->routes[i];
      assert (mesh_route_choose (route) != NULL);
      mesh_config_find (config, route->host, route->prefix);
    }
  mesh_config_find (config, "", "");
  talloc_free (config);
}

static void
fuzz_records (const uint8_t *data, size_t size)
{
  struct directory_entry entry;
  struct directory_entry again;
  char text[ENTRY_RECORD_MAX];
  if (entry_record_read (data, size, &entry) == STATUS_OK)
    {
      size_t written = entry_record_write (&entry, text);
      assert (written == 0
              || (entry_record_read ((const uint8_t *)text, written, &again)
                      == STATUS_OK
                  && memcmp (&entry, &again, sizeof entry) == 0));
    }
  struct move_record record;
  move_record_read (data, size, &record);
  struct move_evidence evidence;
  if (move_evidence_read ((const char *)data, size, &evidence) == STATUS_OK)
    for (size_t i = 0; i < evidence.kind_count; i++)
      assert (evidence.kinds[i].counts.failures
              <= evidence.kinds[i].counts.calls);
}

static void
fuzz_view (const uint8_t *data, size_t size)
{
  struct mirror mirror;
  uint64_t as_of;
  bool whole;
  mirror_init (&mirror);
  if (view_read ((const char *)data, size, &mirror, &as_of, &whole)
      == STATUS_OK)
    {
      size_t written;
      char *text = view_write (&mirror, whole ? 0 : 1, as_of, &written);
      free (text);
    }
  mirror_finish (&mirror);
}

static void
fuzz_quota (const char *data, size_t size)
{
  static struct quota_request request;
  static struct quota_request request_again;
  static struct quota_response response;
  static struct quota_response response_again;
  if (quota_request_read (data, size, &request) == STATUS_OK)
    {
      char *text = quota_request_write (&request);
      assert (text != NULL
              && quota_request_read (text, strlen (text), &request_again)
                     == STATUS_OK
              && request.count == request_again.count
              && request.process == request_again.process
              && request.sequence == request_again.sequence);
      for (size_t i = 0; i < request.count; i++)
        assert (strcmp (request.asks[i].account, request_again.asks[i].account)
                    == 0
                && request.asks[i].report.pending
                       == request_again.asks[i].report.pending
                && request.asks[i].report.held.rate_ppm
                       == request_again.asks[i].report.held.rate_ppm
                && request.asks[i].report.held.burst_ppm <= QUOTA_PPM);
      free (text);
    }
  if (quota_response_read (data, size, &response) == STATUS_OK)
    {
      char *text = quota_response_write (&response);
      assert (text != NULL
              && quota_response_read (text, strlen (text), &response_again)
                     == STATUS_OK
              && response.count == response_again.count);
      free (text);
    }
  struct quota_transfer transfer;
  if (quota_transfer_read (data, size, &transfer) == STATUS_OK)
    {
      for (size_t i = 0; i < transfer.count; i++)
        assert (transfer.accounts[i].first + transfer.accounts[i].count
                <= transfer.holder_count);
      for (size_t i = 0; i < transfer.holder_count; i++)
        assert (transfer.holders[i].until_ms <= QUOTA_SHARE_MS + QUOTA_FRESH_MS
                && transfer.holders[i].part.rate_ppm <= QUOTA_PPM);
      quota_transfer_finish (&transfer);
    }
}

static void
fuzz_headers (const uint8_t *data, size_t size)
{
  char text[256];
  struct hop hop;
  struct hop_load load;
  size = size < sizeof text - 1 ? size : sizeof text - 1;
  memcpy (text, data, size);
  text[size] = '\0';
  if (hop_parse (text, &hop) == STATUS_OK)
    assert (strlen (hop.service) <= DIRECTORY_NAME_MAX);
  if (hop_load_parse (text, &load) == STATUS_OK && load.speed_percent != 0)
    assert (load.speed_percent >= TARGET_SPEED_PERCENT_MIN
            && load.speed_percent <= TARGET_SPEED_PERCENT_MAX);
  struct target_load target_load;
  if (target_load_parse (text, &target_load) == STATUS_OK)
    {
      assert (target_load.running <= TARGET_LOAD_COUNT_MAX
              && target_load.waiting <= TARGET_LOAD_COUNT_MAX
              && target_load.slots <= TARGET_LOAD_COUNT_MAX);
      assert (target_load.speed_percent == 0
              || (target_load.speed_percent >= TARGET_SPEED_PERCENT_MIN
                  && target_load.speed_percent <= TARGET_SPEED_PERCENT_MAX));
    }
  char id[DIRECTORY_NAME_MAX + 1];
  platform_adapter.classify ("POST", text, id);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  uint8_t kind = data[0];
  data++;
  size--;
  struct target_report report;
  struct move_order order;
  switch (kind % 6)
    {
    case 0:
      platform_read_report ("i-1", (const char *)data, size, &report);
      break;
    case 1:
      fuzz_config (data, size);
      break;
    case 2:
      platform_read_order (data, size, &order);
      break;
    case 3:
      {
        void *arena = talloc_new (NULL);
        struct store_reply reply;
        platform_store_codec.parse_response ((enum store_call) (kind / 6 % 9),
                                             kind & 1 ? 200 : 412, NULL, data,
                                             size, arena, &reply);
        talloc_free (arena);
        break;
      }
    case 4:
      fuzz_records (data, size);
      fuzz_view (data, size);
      fuzz_quota ((const char *)data, size);
      break;
    default:
      fuzz_headers (data, size);
      break;
    }
  return 0;
}
