package main

import (
	"fmt"
	"syscall"

	"cranegate/internal/config"
	"cranegate/internal/frontend/connlimit"
)

// Descriptors that are set aside. Connections of clients and to database hosts can't use them.
const (
	runtimeDescriptors    = 8  // standard streams, two of the network poller, and files that are read occasionally
	hotRestartDescriptors = 12 // the folder and its two listeners, two links and two senders of another process, the state's files
	frontendDescriptors   = 3  // per frontend: its listener, a duplicate of a shared one, and the client that is being accepted
	discoveryDescriptors  = 2  // per frontend: the connection, and its replacement
	listenerDescriptors   = 2  // per admin address: its listener, and a caller that waits to be served
	checkDescriptors      = 32 // the operator's addresses with all their callers
	gossipDescriptors     = 32 // the other gateways

	maxDescriptors = 1024 // upper bound, even if the limits allow more
)

// TooFewDescriptorsError reports that the limit on descriptors leaves none for clients and database hosts. The operator can raise
// limits.sockets or the limit on open files (ulimit -n), or turn off what the operator's file configures in addition to the frontends.
type TooFewDescriptorsError struct {
	Limit int // the limit in force
	Min   int // the lowest limit with which this configuration runs
}

// Error says what to raise.
func (e TooFewDescriptorsError) Error() string {
	return fmt.Sprintf("the limit of %d descriptors is too low, at least %d are needed; raise limits.sockets or the limit on open files (ulimit -n)", e.Limit, e.Min)
}

// descriptorUsers says which parts of the program need descriptors.
type descriptorUsers struct {
	frontends int
	admin     bool // the platform's admin address, and hot restart with it
	checks    bool // the operator's addresses for balancers and admin calls
	gossip    bool
}

// descriptorAllocation divides the limit on descriptors.
type descriptorAllocation struct {
	limit        int // the limit that is divided
	adminCallers int // at the platform's admin address
	clients      int // connections of all frontends
	backendConns int // connections to the database hosts of each protocol
}

// allocateDescriptors divides the lower of the configured limit and openFiles, the system's limit on open files or 0 if that is unknown.
// It fails with a TooFewDescriptorsError.
func allocateDescriptors(limits config.Limits, openFiles int, users descriptorUsers) (descriptorAllocation, error) {
	frontends := max(1, users.frontends)
	limit := limits.Sockets
	if limit <= 0 || limit > maxDescriptors {
		limit = maxDescriptors
	}
	if openFiles > 0 {
		limit = min(limit, openFiles)
	}
	allocation := descriptorAllocation{limit: limit, adminCallers: max(2, min(maxAdminCallers, limit/16))}
	setAside := setAsideDescriptors(users, frontends, allocation.adminCallers)
	if minLimit := setAside + 2 + frontends; limit < minLimit {
		return allocation, TooFewDescriptorsError{Limit: limit, Min: minLimit}
	}
	remaining := limit - setAside
	allocation.clients = maxClientsWithin(remaining)
	forBackends := remaining - allocation.clients - connlimit.RejectQueueSize(allocation.clients)
	allocation.backendConns = max(1, forBackends/frontends)
	if allocation.backendConns*frontends > allocation.clients {
		// More connections than clients are of no use: a client that finds no free connection waits.
		allocation.backendConns = max(1, allocation.clients/frontends)
	}
	return allocation, nil
}

// setAsideDescriptors returns the number of descriptors that clients and database hosts can't use.
func setAsideDescriptors(users descriptorUsers, frontends, adminCallers int) int {
	n := runtimeDescriptors + frontends*(frontendDescriptors+discoveryDescriptors)
	if users.admin {
		n += hotRestartDescriptors + listenerDescriptors + adminCallers
	}
	if users.checks {
		n += checkDescriptors
	}
	if users.gossip {
		n += gossipDescriptors
	}
	return n
}

// maxClientsWithin returns the largest number of clients, at least 1, that leaves the same number of descriptors for hosts after those
// for clients that are being rejected.
func maxClientsWithin(descriptors int) int {
	for clients := descriptors / 2; clients > 1; clients-- {
		if clients+connlimit.RejectQueueSize(clients)+clients <= descriptors {
			return clients
		}
	}
	return 1
}

// openFilesLimit returns the system's limit on this process's descriptors, or 0 if it is unknown.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}
