package main

import (
	"fmt"
	"math/rand/v2"
)

// newID returns the id of a request, or a key.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// statement returns a statement as the pages show it. d is in milliseconds.
func statement(id, class string, d, cluster int) string {
	key := newID()
	if class == "zusage" {
		return fmt.Sprintf(`/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO records (k, v) VALUES ('%s', '\x9f03') RETURNING v`, id, class,
			d, cluster, key)
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT v FROM records WHERE k = '%s'", id, class, d, cluster, key)
}

// group returns three hosts of one group and the agent that lists them.
func group(rec *record, configure func(*host)) ([]*host, *agent) {
	var hosts []*host
	var targets []target
	zones := []string{"nuernberg", "muenchen-nord", "augsburg"}
	for i := range 3 {
		h := newHost(fmt.Sprintf("s-%d", i), i == 0, rec)
		configure(h)
		hosts = append(hosts, h)
		replication := "standby"
		if i == 0 {
			replication = "primary"
		}
		targets = append(targets, target{h.uid, h.listener.Addr().String(), zones[i], "standard-3k", 0, "SERVING", 1, 0, replication})
	}
	return hosts, newAgent(targets, rec)
}
