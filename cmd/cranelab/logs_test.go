package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestLogsAreSummed adds the logs of two gateways, one of which is started again. Lines without counters are ignored.
func TestLogsAreSummed(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"n0.log": "1.0 2026/12/01 10:00:01.000001 event=counters attempts=10 list_a=1 list_b=2 requests=7\n" +
			"2.0 time=2026-12-01T10:00:02.100000Z level=INFO event=counters attempts=16 list_a=1 list_b=4 requests=9\n" +
			"2.5 2026/12/01 10:00:02.500000 event=serving fronts=1\n" +
			"3.0 2026/12/01 10:00:03.000000 event=counters attempts=2 requests=1\n", // a new process
		"n1.log": "2026/12/01 10:00:02.000000 event=counters attempts=5 requests=x\nnot a line event=counters\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	sums := totals{bySecond: map[int64]map[string]int64{}}
	for _, name := range []string{"n0.log", "n1.log"} {
		if err := sums.read(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := sums.print(&out, []string{"attempts", "requests", "list_*"}); err != nil {
		t.Fatal(err)
	}
	got := strings.Fields(out.String())
	want := strings.Fields("2 gateways attempts requests list_* 10:00:01 10 7 3 10:00:02 11 2 2 10:00:03 2 1 0")
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("got %v\nwant %v", got, want)
	}
	if err := (logsCmd{Dir: t.TempDir()}).Run(); err == nil {
		t.Error("a folder without logs is accepted")
	}
}
