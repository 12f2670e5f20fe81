package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

type logsCmd struct {
	Dir     string   `arg:"" type:"existingdir" help:"Folder with one log file for each gateway."`
	Columns []string `help:"Counters to show; a name that ends in * is the sum of all counters with that prefix."`
}

var defaultColumns = []string{"requests", "served", "refused", "failed", "attempts", "attempts_ok", "attempts_timed_out",
	"attempts_turned_away", "attempts_not_connected", "attempts_reset", "server_connects", "server_connections_no_room", "probes", "list_*"}

// Run prints a table with the increase of counters in each second, summed over all gateways. The gateways log their counters while they
// run with -counters 1s.
func (c logsCmd) Run() error {
	files, err := filepath.Glob(filepath.Join(c.Dir, "*"))
	if err != nil {
		return fmt.Errorf("listing the logs: %w", err)
	}
	t := totals{bySecond: map[int64]map[string]int64{}}
	for _, name := range files {
		if err := t.read(name); err != nil {
			return fmt.Errorf("reading %s: %w", name, err)
		}
	}
	if len(t.bySecond) == 0 {
		return errors.New("no counters in the logs: gateways log them with -counters 1s")
	}
	columns := c.Columns
	if len(columns) == 0 {
		columns = defaultColumns
	}
	return t.print(os.Stdout, columns)
}

// totals holds the increase of counters by Unix second, summed over all gateways.
type totals struct {
	bySecond map[int64]map[string]int64
	gateways int
}

// read adds one gateway's log. Counters that fall show that its process was started again.
func (t *totals) read(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	last, seen := map[string]int64{}, false
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		at, now, ok := parseCounters(lines.Text())
		if !ok {
			continue
		}
		if now["requests"] < last["requests"] || now["attempts"] < last["attempts"] {
			clear(last)
		}
		seen = true
		second := t.bySecond[at.Unix()]
		if second == nil {
			second = map[string]int64{}
			t.bySecond[at.Unix()] = second
		}
		for counter, n := range now {
			second[counter] += n - last[counter]
		}
		last = now
	}
	if seen {
		t.gateways++
	}
	return lines.Err()
}

// parseCounters reads a log line with counters. Text before its time is ignored.
func parseCounters(line string) (at time.Time, counters map[string]int64, ok bool) {
	head, tail, found := strings.Cut(line, " event=counters")
	if !found {
		return at, nil, false
	}
	at, ok = parseTime(strings.Fields(head))
	if !ok {
		return at, nil, false
	}
	counters = map[string]int64{}
	for _, word := range strings.Fields(tail) {
		name, value, _ := strings.Cut(word, "=")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			counters[name] = n
		}
	}
	return at, counters, true
}

// parseTime reads the time before an event: time=T level=L, or the date and time of an older log format.
func parseTime(words []string) (at time.Time, ok bool) {
	if len(words) < 2 {
		return at, false
	}
	if text, structured := strings.CutPrefix(words[len(words)-2], "time="); structured {
		at, err := time.Parse(time.RFC3339Nano, text)
		return at, err == nil
	}
	at, err := time.Parse("2006/01/02 15:04:05.000000", strings.Join(words[len(words)-2:], " "))
	return at, err == nil
}

// print writes the table. The first second also contains everything that was counted before it.
func (t *totals) print(out io.Writer, columns []string) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%d gateways\t%s\t\n", t.gateways, strings.Join(columns, "\t"))
	var seconds []int64
	for s := range t.bySecond {
		seconds = append(seconds, s)
	}
	slices.Sort(seconds)
	for _, s := range seconds {
		fmt.Fprintf(w, "%s\t", time.Unix(s, 0).UTC().Format(time.TimeOnly))
		for _, column := range columns {
			sum := t.bySecond[s][column]
			if prefix, many := strings.CutSuffix(column, "*"); many {
				for name, n := range t.bySecond[s] {
					if strings.HasPrefix(name, prefix) {
						sum += n
					}
				}
			}
			fmt.Fprintf(w, "%d\t", sum)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
