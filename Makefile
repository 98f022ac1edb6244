# make            build the briargrade binary
# make test       build and run every test
# make demo       build, start an example fleet on loopback and send it requests
# make bench      build, run the benchmarks and print their results
# make soak       build and run the randomised simulations, with SEEDS=N seeds
# make fault-soak build, then inject faults into a fleet of real processes,
#                 with SEED=N, for MINUTES=M
# make check      check the format and run the linter

CC ?= gcc
PKGS = glib-2.0 jansson libxxhash msgpack libmicrohttpd libcurl libzmq zlib
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes
CFLAGS ?= -O2 -g
ifdef SANITIZE
CFLAGS = -O1 -g -fsanitize=address,undefined -fno-omit-frame-pointer
OUT = build/sanitize
else
OUT = build
endif
ALL_CFLAGS = -std=gnu11 $(WARNINGS) $(CFLAGS) -I. -MMD -MP \
	$(shell pkg-config --cflags $(PKGS))
LIBS = $(shell pkg-config --libs $(PKGS)) -lev -lhttp_parser -lm

PURE = util state member gate route settings audit platform model
LIB_SRC = $(foreach d,$(PURE) net node,$(wildcard $(d)/*.c))
CMD_SRC = briargrade.c $(wildcard builtin/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(OUT)/%.o)
CMD_OBJ = $(CMD_SRC:%.c=$(OUT)/%.o)
# These files ensure that a key has at most one owner, and that what is reported
# as not run never runs. They are compiled a second
# time with -DRULE_SWITCHES, so that tests can disable single safety rules.
RULE_SRC = $(wildcard member/*.c) gate/grant-call.c gate/grant-heartbeat.c \
	gate/instance-proof.c \
	gate/reconcile.c \
	gate/server-instance.c gate/rate-limit.c state/quarantine.c \
	state/early.c route/plan.c net/answer-check.c net/answer.c
RULE_OBJ = $(RULE_SRC:%.c=$(OUT)/rules/%.o)
OTHER_OBJ = $(filter-out $(RULE_SRC:%.c=$(OUT)/%.o),$(LIB_OBJ))

PROGRAMS = briargrade log-standin backend-standin platform-store faulty-server \
	platform-server load slope
TESTS = test-announce test-answer test-answer-bytes test-fetch test-changes test-published test-grants test-member test-schedules test-recovery test-start test-readers test-log-client test-state test-gate test-reconcile test-quarantine test-rate-limit test-server-instance test-sendings test-entry-answer test-client test-store test-route test-settings test-net
BINARIES = $(PROGRAMS:%=$(OUT)/bin/%) $(TESTS:%=$(OUT)/bin/%) \
	$(OUT)/bin/fault-soak
SOURCES = $(wildcard *.c builtin/*.[ch] t/*.[ch] t/soak/*.[ch] \
	$(foreach d,$(PURE) net node,$(d)/*.[ch]))

all: $(OUT)/bin/briargrade

binaries: $(BINARIES)

$(OUT)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -c $< -o $@

$(OUT)/rules/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -DRULE_SWITCHES -c $< -o $@

$(OUT)/bin/briargrade: $(CMD_OBJ) $(LIB_OBJ)
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

SIM_TESTS = test-changes test-member test-schedules test-recovery test-start test-readers
$(SIM_TESTS:%=$(OUT)/bin/%): $(OUT)/bin/%: $(OUT)/t/%.o $(OUT)/t/sim.o \
		$(OUT)/t/sim-backend.o $(OUT)/t/sim-faults.o \
		$(OUT)/t/sim-operators.o $(RULE_OBJ) \
		$(OTHER_OBJ)
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(OUT)/bin/test-reconcile $(OUT)/bin/test-quarantine \
		$(OUT)/bin/test-answer $(OUT)/bin/test-answer-bytes \
		$(OUT)/bin/test-rate-limit \
		$(OUT)/bin/test-server-instance $(OUT)/bin/test-sendings: $(OUT)/bin/%: \
		$(OUT)/t/%.o $(RULE_OBJ) $(OTHER_OBJ)
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

SOAK_OBJ = $(patsubst %.c,$(OUT)/%.o,$(wildcard t/soak/*.c))
$(OUT)/bin/fault-soak: $(SOAK_OBJ) $(LIB_OBJ)
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(OUT)/bin/test-client: $(OUT)/t/test-client.o $(OUT)/builtin/client.o \
		$(LIB_OBJ)
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(OUT)/bin/faulty-server: $(OUT)/t/faulty-answers.o $(OUT)/t/endless-answers.o

$(OUT)/bin/%: $(OUT)/t/%.o $(LIB_OBJ)
	@mkdir -p $(@D)
	@echo "  CC $@"; $(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

test: packages
	$(MAKE) binaries
	OUT=$(OUT) t/run-tests

packages:
	t/install-packages

# This target runs only the tests that need no other process.
unit: binaries
	UNIT_ONLY=1 OUT=$(OUT) t/run-tests

demo: packages
	$(MAKE) $(PROGRAMS:%=$(OUT)/bin/%)
	OUT=$(OUT) t/demo.sh

bench: binaries
	OUT=$(OUT) t/bench.sh

report: binaries
	OUT=$(OUT) t/report.sh

SEEDS ?= 1000
FIRST_SEED ?= 1
soak: $(OUT)/bin/test-member $(OUT)/bin/test-answer-bytes
	SEEDS=$(SEEDS) FIRST_SEED=$(FIRST_SEED) $(OUT)/bin/test-member \
		-p /member/random-faults -p /member/random-grants \
		-p /member/random-calls -p /member/random-late-heartbeats \
		-p /member/random-servers-leave
	SEEDS=$(SEEDS) FIRST_SEED=$(FIRST_SEED) $(OUT)/bin/test-answer-bytes \
		-p /answer-bytes/any

SEED ?= 1
MINUTES ?= 2
# The default is above the kernel's default range of ephemeral ports (it ends at
# 60999), so that the kernel does not assign these ports to other sockets.
SOAK_PORT ?= 61000
fault-soak: $(OUT)/bin/fault-soak $(OUT)/bin/briargrade \
		$(OUT)/bin/platform-store $(OUT)/bin/platform-server
	$(OUT)/bin/fault-soak --seed $(SEED) --minutes $(MINUTES) \
		--port $(SOAK_PORT) --bin $(OUT)/bin

check:
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
		--enable=warning,portability,performance -j4 \
		--suppress=missingIncludeSystem --library=gtk -I. \
		--suppress=assertWithSideEffect:t/* \
		--suppress=assignmentInAssert:t/* \
		'-Djson_array_foreach(a,i,v)=for(i=0;(v=json_array_get(a,i));i++)' \
		'-Djson_object_foreach(o,k,v)=for(k="";(v=json_object_get(o,k));)' \
		$(filter %.c,$(SOURCES))

format:
	clang-format -i $(SOURCES)

clean:
	rm -rf build target

.PHONY: unit packages all binaries test demo bench report soak fault-soak check format clean
.SECONDARY:
-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
