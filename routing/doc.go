// Package routing makes the decisions of a query router for sharded, replicated databases: which member serves a
// request, when it is retried, hedged or rejected, how much a member in slow start is sent, and which members are
// health-checked. A Router serves one gateway. It reads no clock, does no I/O and starts no goroutine: its host passes
// every event with the current time, and the Router answers by calling the host's Gateway.
//
// Configuration and messages:
//
//   - config.go, validate.go: the configuration and its validation;
//   - messages.go: what the host passes in;
//   - gateway.go, reason.go: what the Router asks of its host;
//   - snapshot.go: the learned state, exported for a successor process;
//   - diagnostics.go: figures for tests and invariants.
//
// State:
//
//   - router.go: the Router;
//   - member.go, group.go, request.go: what it holds of members, groups and requests;
//   - sessions.go, decaying.go: containers.
//
// Decisions:
//
//   - events.go: the events, and what each of them triggers;
//   - sweep.go: the clock and the periodic work;
//   - observations.go: the one place where positions, roles and latencies are learned;
//   - health.go: when a member is unhealthy, and when it has restarted;
//   - primary.go: the search for the primary;
//   - freshness.go: whether a member's data is recent enough for a read;
//   - choose.go: the member for a read, by the expected value of its answer;
//   - latency.go: the probability of an answer in time;
//   - attempts.go: attempts, their eligibility and deadlines, and the end of a request;
//   - retry.go: what follows an attempt: retry, hedged request, cancellation or a final answer;
//   - admission.go: load shedding and tenants' quotas;
//   - slowstart.go: the budget of members that are warming up;
//   - healthcheck.go: which members are health-checked;
//   - endpoints.go: the endpoint list, draining and the subscription to the list;
//   - zones.go: observations for the judgement of whole zones.
//
// Times are durations on the host's clock. Positions are milliseconds after Config.PositionEpoch. The expected latency
// of a class is its learned mean round trip; silence and latency samples are measured in multiples of it.
package routing
