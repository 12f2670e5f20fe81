package main

import (
	"fmt"
	"syscall"

	"cranegate/internal/config"
	"cranegate/internal/frontend/connlimit"
)

// What descriptors are set aside for, beside clients and database hosts. Nobody who comes takes one of these.
const (
	forRuntime   = 8  // standard streams, the poller's two, and files that are read at times
	forHandover  = 12 // the folder and its two listeners, two links and two senders of another process, the state's files
	forFront     = 3  // of each: its listener, a duplicate of a shared one, and the client that is being accepted
	forDiscovery = 2  // of each: the connection, and the one that takes its place
	forAddress   = 2  // of each address for staff or balancers: its listener, and the caller that waits for a place
	forChecks    = 32 // the operator's addresses with all their callers
	forPeers     = 32 // the other gateways
	mostSockets  = 1024
)

// TooFewDescriptors says that the limit on descriptors leaves none for clients and database hosts. Raise limits.sockets, or the
// limit on open files (ulimit -n), or turn off what the operator's file names beside the fronts.
type TooFewDescriptors struct{ Limit, Least int }

func (e TooFewDescriptors) Error() string {
	return fmt.Sprintf("%d descriptors are too few, %d is the least; raise limits.sockets or the limit on open files (ulimit -n)", e.Limit, e.Least)
}

// descriptors is how a limit is shared out.
type descriptors struct {
	limit   int // in all
	staff   int // callers at the second address
	clients int // places of all fronts
	servers int // connections to the database hosts of each protocol
}

// share shares out the limit among so many fronts. The system's own limit on open files, 0 if not known, counts where it is lower.
func share(limits config.Limits, files, fronts int, second, checks, peers bool) (descriptors, error) {
	fronts = max(1, fronts)
	limit := limits.Sockets
	if limit <= 0 || limit > mostSockets {
		limit = mostSockets
	}
	if files > 0 {
		limit = min(limit, files)
	}
	d := descriptors{limit: limit, staff: max(2, min(mostAtSecond, limit/16))}
	kept := forRuntime + fronts*(forFront+forDiscovery)
	if second {
		kept += forHandover + forAddress + d.staff
	}
	if checks {
		kept += forChecks
	}
	if peers {
		kept += forPeers
	}
	// Half is for clients and those among them that are being turned away, the other for hosts, one at least of each.
	left := limit - kept
	if least := kept + 2 + fronts; limit < least {
		return d, TooFewDescriptors{limit, least}
	}
	d.clients = 1
	for n := left / 2; n > 1; n-- {
		if n+connlimit.RejectQueueSize(n)+n <= left {
			d.clients = n
			break
		}
	}
	d.servers = max(1, (left-d.clients-connlimit.RejectQueueSize(d.clients))/fronts)
	if d.servers*fronts > d.clients { // as many as clients: one without a host's connection waits for one
		d.servers = max(1, d.clients/fronts)
	}
	return d, nil
}

// openFiles is the system's limit on this process's descriptors; 0 where it is not known.
func openFiles() int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil {
		return 0
	}
	return int(min(r.Cur, 1<<20))
}
