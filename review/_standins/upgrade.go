package main

import (
	"strings"
	"time"
)

func init() { cases["upgrade"] = upgrade }

const (
	upgradeLag   = 4 * time.Second // how far the replicas are behind
	upgradeReads = 5
)

// upgrade is a probe, no case. A session writes, the gateway is upgraded, and the session reads, at a deployment whose hosts check no
// read and whose sessions' writes the gateway itself has to remember. No read may miss the write.
func upgrade(rec *record, root string, disturbed bool) (bool, error) {
	var hosts []*host
	for _, uid := range []string{"db-0", "db-1", "db-2"} {
		h := &host{uid: uid, work: func(*query) time.Duration { return 20 * time.Millisecond },
			answer: func(h *host, q *query) bool {
				_, err := q.conn.Write(h.end(appendRow(nil, "as of "+time.Now().Add(-h.lag).Format("05.000")+" from "+h.uid)))
				return err == nil
			}}
		if uid != "db-0" {
			h.lag = upgradeLag
		}
		hosts = append(hosts, h)
	}
	var admin [2]string
	for i := range admin {
		var err error
		if admin[i], err = freeAddress(); err != nil {
			return false, err
		}
	}
	d, err := deploy(rec, root, hosts, func(config map[string]any) {
		config["admin"] = admin[0]
		domain := config["settings"].(map[string]any)["domain"].(map[string]any)
		domain["guards"], domain["writeMarks"] = "none", "remembered"
	})
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.holdSocket(); err != nil {
		return false, err
	}
	if err := d.startGateway(); err != nil {
		return false, err
	}
	c, err := dial(d.listen)
	if err != nil {
		return false, err
	}
	defer c.Close()
	ask := func(class string) reply {
		id := newID()
		c.Write(queryMessage(strings.Replace(statement(id, class, 2*time.Second, ""), "'"+id+"'", "'7f3a9c21e0b4d655'", 1)))
		r := c.read()
		rec.say("%s id=%s: %v", class, id, r)
		return r
	}
	ask("statistik")
	ask("zusage")
	time.Sleep(300 * time.Millisecond) // what an answer tells counts as known after 100 ms
	if disturbed {
		if err := d.upgrade(admin[1]); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	stale := 0
	for range upgradeReads {
		if r := ask("eigener-antrag"); r.outcome == "served" && !strings.HasSuffix(r.value, "from db-0") {
			stale++
		}
	}
	rec.say("%d of %d reads missed their session's write", stale, upgradeReads)
	return stale > 0, d.checkAlive()
}
