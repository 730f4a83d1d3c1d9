# Builds the programs, the library, the stand-ins and the tests.
#   make            programs, stand-ins and benchmarks in build/opt
#   make check      unit, fuzz-regression and functional tests (sanitizers on)
#   make bench      figures against their bounds
#   make demo       set-up, build and a guided run on loopback
#   make fuzz       libFuzzer targets, FUZZ_SECONDS each (default 60)
#   make soak       fault soak of real processes with fresh seeds
#   make lint       formatter, linters and the layer check
VARIANT ?= opt
BUILD := build/$(VARIANT)

CC := gcc
CFLAGS := -std=gnu11 -g -Wall -Wextra -Wshadow -Wstrict-prototypes \
  -Wmissing-prototypes -Wno-unused-parameter -Werror -Isrc -Iinclude -I.
ifeq ($(VARIANT),san)
CFLAGS += -O1 -fsanitize=address,undefined -fno-sanitize-recover=undefined \
  -fno-omit-frame-pointer
else ifeq ($(VARIANT),fuzz)
CC := clang
CFLAGS += -O1 -fsanitize=fuzzer-no-link,address,undefined \
  -fno-sanitize-recover=undefined -fno-omit-frame-pointer
else
CFLAGS += -O2
endif
LIBS := -levhtp -levent_openssl -levent -lhttp_parser -lssl -lcrypto -lmsgpackc -lyaml \
  -ltalloc -lsodium -lzstd -ljansson -lxxhash -largtable2 -lm

PRODUCT := $(filter-out %_main.c,$(wildcard src/base/*.c src/state/*.c \
  src/coordination/*.c src/protocol/*.c src/transport/*.c src/node/*.c \
  src/ctl/*.c src/lib/*.c src/sidecar/*.c platform/*.c))
# The sidecar links only what it uses: its memory is billed.
SIDECAR_PARTS := $(filter-out %_main.c,$(wildcard src/base/*.c src/sidecar/*.c \
  platform/*.c) \
  $(addprefix src/state/, \
  client_account.c \
  directory.c \
  evacuation.c \
  leave_table.c \
  mesh_config.c \
  mirror.c \
  suspect.c \
  target_history.c) \
  $(addprefix src/coordination/, \
  admission_cost.c \
  admission_preview.c \
  admission_queue.c \
  admission_rank.c \
  cold_limit.c \
  leave_holders.c \
  link_load.c \
  placement.c \
  placement_estimate.c \
  placement_speed.c \
  quota_lease.c \
  quota_owner.c \
  quota_rank.c \
  relay.c \
  rendezvous.c \
  resend.c \
  retry.c \
  retry_quota.c \
  rollout.c \
  rollout_spread.c \
  seqtest.c \
  shed_cost.c \
  stop_plan.c \
  store_pace.c \
  store_revision.c \
  target_speed.c \
  transfer.c) \
  $(addprefix src/protocol/, \
  call_headers.c \
  crash_record.c \
  document.c \
  entry_record.c \
  explain_query.c \
  hop.c \
  json_text.c \
  move_record.c \
  quota_message.c \
  scalar.c \
  store_api.c \
  target_load.c \
  view.c) \
  $(addprefix src/transport/, \
  http_head.c \
  http_message_check.c \
  http_pool.c \
  http_request_body.c \
  http_response_guard.c \
  http_server.c \
  http_socket.c \
  http_stream.c \
  http_upload.c \
  memory_budget.c \
  store_client.c \
  timer.c))
SIDECAR := $(BUILD)/hawthornseam-sidecar
SIDECAR_LIBS := -Wl,-Bstatic -levent_extra -levent_core -lhttp_parser -lyaml -ltalloc -lsodium \
  -lzstd -ljansson -lxxhash -largtable2 -Wl,-Bdynamic -lm
LIBRARY := $(BUILD)/libhawthornseam-core.a
NODE := $(BUILD)/hawthornseam-node
CTL := $(BUILD)/hawthornseam-ctl
LOAD := $(BUILD)/hawthornseam-load
OPERATOR_LIBRARY := $(BUILD)/libhawthornseam.a
STANDINS := $(patsubst test/standin/%.c,$(BUILD)/standin-%, \
  $(wildcard test/standin/*.c))
SOAK := $(BUILD)/soak
EXAMPLES := $(patsubst examples/%.c,$(BUILD)/example-%,$(wildcard examples/*.c))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench-%,$(wildcard bench/*.c))
MODEL := $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard src/model/*.c))
UNIT_TESTS := $(patsubst test/unit/%.c,$(BUILD)/unit-%, \
  $(wildcard test/unit/*_test.c))
FUZZERS := $(patsubst test/fuzz/%.c,$(BUILD)/fuzz-%, \
  $(wildcard test/fuzz/*_fuzz.c))

all: $(NODE) $(SIDECAR) $(CTL) $(LOAD) $(OPERATOR_LIBRARY) $(STANDINS) $(SOAK) \
  $(EXAMPLES) $(BENCHES)

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIBRARY): $(PRODUCT:%.c=$(BUILD)/obj/%.o)
	@rm -f $@
	ar rcs $@ $^

$(OPERATOR_LIBRARY): $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard src/lib/*.c))
	@rm -f $@
	ar rcs $@ $^

$(NODE): $(BUILD)/obj/src/node/node_main.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(SIDECAR): $(BUILD)/obj/src/sidecar/sidecar_main.o \
  $(SIDECAR_PARTS:%.c=$(BUILD)/obj/%.o)
	$(CC) $(CFLAGS) -o $@ $^ $(SIDECAR_LIBS)

$(LOAD): $(BUILD)/obj/src/load/load_main.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(CTL): $(BUILD)/obj/src/ctl/ctl_main.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-%: $(BUILD)/obj/test/standin/%.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(SOAK): $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard test/soak/*.c)) $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/example-%: $(BUILD)/obj/examples/%.o $(OPERATOR_LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^

$(BUILD)/bench-%: $(BUILD)/obj/bench/%.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/bench-move_bench: $(BUILD)/obj/bench/move_bench.o $(MODEL) $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/unit-%: $(BUILD)/obj/test/unit/%.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS) -lcunit

$(BUILD)/fuzz-%: $(BUILD)/obj/test/fuzz/%.o $(LIBRARY)
	$(CC) $(CFLAGS) -fsanitize=fuzzer -o $@ $^ $(LIBS)

unit-tests: $(UNIT_TESTS)
fuzzers: $(FUZZERS)

deps:
	@.ci/install-packages

check: deps
	$(MAKE) VARIANT=san all unit-tests
	$(MAKE) VARIANT=fuzz fuzzers
	$(MAKE) VARIANT=opt all
	test/run.sh

bench: deps
	$(MAKE) VARIANT=opt all
	bench/run.sh

demo: deps
	$(MAKE) VARIANT=opt all
	test/functional/demo.sh

fuzz: deps
	$(MAKE) VARIANT=fuzz fuzzers
	test/fuzz/run.sh $${FUZZ_SECONDS:-60}

# Runs the soak with fresh seeds: SECONDS_EACH, PROCESSES, COUNT, JOBS.
soak: deps
	$(MAKE) VARIANT=opt all
	test/soak/run.sh

lint: deps
	.ci/lint

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
.PHONY: all unit-tests fuzzers deps check bench demo fuzz soak lint clean
.SECONDARY:
