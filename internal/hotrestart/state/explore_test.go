package state

import "fmt"

// wrong says what may never be, and what may not stay.
func (w *world) wrong(last bool) string {
	banned, back := false, false
	for k, c := range w.calls {
		if c.out && c.ok {
			banned = true
		}
		if k > 0 && !c.out && (c.began || c.ended) {
			banned = false
			back = c.ok && c.waits
		}
	}
	first := -1
	for i, p := range w.procs {
		if !p.alive {
			continue
		}
		_, out := p.holding.State().Out[host]
		if banned && p.sends && !out {
			return fmt.Sprintf("process %d sends to the host after the yes", i)
		}
		if last && back && out {
			return fmt.Sprintf("process %d holds the host out for good after the yes to an attach", i)
		}
		if last && first >= 0 && !(p.holding.Covers(w.procs[first].holding) && w.procs[first].holding.Covers(p.holding)) {
			return "the live processes do not agree in the end"
		}
		first = i
	}
	return ""
}

// explore returns the first fault and the number of worlds, which most bounds.
func explore(w *world, o orders, most int) (fault string, worlds int) {
	seen := map[string]bool{w.key(): true}
	for todo := []*world{w}; len(todo) > 0 && len(seen) < most; {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		next := w.next(o)
		if fault := w.wrong(len(next) == 0); fault != "" {
			return fault, len(seen)
		}
		for _, n := range next {
			if k := n.key(); !seen[k] {
				seen[k] = true
				todo = append(todo, n)
			}
		}
	}
	return "", len(seen)
}

// start gives a world of processes, of which the first live and know each other.
func start(live, all, kills int, calls ...call) *world {
	w := &world{calls: calls, mail: map[message]Registers{}, kills: kills}
	for i := range all {
		p := proc{known: make([]bool, all), gone: make([]bool, all), holds: make([]Registers, all)}
		if i < live {
			p.alive, p.joined, p.sends = true, len(Joining()), true
			for j := range live {
				p.known[j] = i != j
			}
		}
		w.procs = append(w.procs, p)
	}
	return w
}
