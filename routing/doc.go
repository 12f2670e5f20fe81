// Package routing makes the decisions of a query router for sharded, replicated databases: which member
// serves a request, when the request is retried, hedged or rejected, how much work a member in slow start is
// sent, and which members are health-checked. A Router serves one gateway. It reads no clock, does no I/O and
// starts no goroutine: its caller passes every event with the current time, and the Router responds by
// calling the caller's Gateway.
//
// Configuration and messages:
//
//   - config.go, validate.go: the configuration and its validation;
//   - messages.go: the events that the caller passes in;
//   - gateway.go, reason.go: the actions that the Router requests;
//   - snapshot.go: the learned state, for a successor process;
//   - diagnostics.go: figures for tests and invariants.
//
// State:
//
//   - router.go: the Router;
//   - member.go, group.go, request.go: the state of members, groups and requests;
//   - sessions.go, decaying.go: the sessions' last write positions, and decaying sums.
//
// Decisions:
//
//   - events.go: the handlers of the events;
//   - sweep.go: the clock and the periodic work;
//   - observations.go: positions, roles and latencies, as learned from answers and reports;
//   - health.go: when a member is unhealthy, and when it has restarted;
//   - primary.go: the search for the primary;
//   - freshness.go: whether a member's data is recent enough for a read;
//   - choose.go: the choice of the member for a read, by the expected value of its answer;
//   - latency.go: the probability that a member answers on time;
//   - attempts.go: attempts, their eligibility and deadlines, and the end of a request;
//   - retry.go: how a request continues: first attempt, retry, hedged request, cancellation or final answer;
//   - admission.go: load shedding and tenants' quotas;
//   - slowstart.go: the budget of members in slow start;
//   - healthcheck.go: which members are health-checked;
//   - endpoints.go: the endpoint list, draining and the subscription to the list;
//   - zones.go: observations of members, from which the health of zones is evaluated.
//
// Times are durations on the caller's clock. Positions are milliseconds after Config.PositionEpoch. The
// expected latency of a class is its learned mean round trip. Silence and latency samples are measured in
// multiples of it.
package routing
