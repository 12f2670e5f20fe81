package main

import (
	"bytes"
	"strings"
	"testing"
)

const settingsLine = "balancers=1 zone=east classes.count=2 classes.0.name=look classes.0.aimS=0.5 " +
	"classes.0.deadlineS=1.5 classes.0.points=1 classes.0.repeat=repeatable classes.1.name=put classes.1.aimS=0.5 " +
	"classes.1.deadlineS=3 classes.1.points=4 classes.1.repeat=once discovery=automatic domain.guards=refuse " +
	"domain.needsByClass=any,write domain.positions=true domain.roleInList=start policyLimits.maxAttempts=3"

// conversation is the input of one instance: an endpoint list, a read and a write, and their answers.
const conversation = "tick 5\nopen_instance gateway/0 42 " + settingsLine + `
list 0 2
entry on east std 1 1 - a:1 4
entry on east std 1 0 - b:1 4
roster_change gateway/0 stale_copy 1 0
over_to_you
tick 5.1
knock gateway/0 1 look - - 1.5 - 4
knock gateway/0 2 put - s 3 - 4
over_to_you
tick 5.2
reply gateway/0 1 20401 b:1 0 0.1 1 1
reply gateway/0 2 20402 a:1 0 0.1 0 8
over_to_you
`

// TestConversation checks to which hosts the attempts of one instance go.
func TestConversation(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader(conversation), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "next\n")
	if len(replies) != 4 || replies[3] != "" {
		t.Fatalf("%d replies:\n%s", len(replies)-1, out.String())
	}
	if !strings.Contains(replies[1], "try gateway/0 1 5.600000 b:1\n") {
		t.Errorf("the read did not go to the replica: %q", replies[1])
	}
	if !strings.Contains(replies[1], "try gateway/0 2 5.600000 a:1\n") {
		t.Errorf("the write did not go to the listed primary: %q", replies[1])
	}
	if !strings.Contains(replies[2], "try gateway/0 2 5.600000 b:1\n") {
		t.Errorf("the write was not retried at the host whose answer names it as primary: %q", replies[2])
	}
}

// TestInstancesAreIndependent runs two instances side by side: each must act as it does alone.
func TestInstancesAreIndependent(t *testing.T) {
	var alone, both bytes.Buffer
	if err := serve(strings.NewReader(conversation), &alone); err != nil {
		t.Fatal(err)
	}
	var input strings.Builder
	for _, line := range strings.SplitAfter(conversation, "\n") {
		input.WriteString(line)
		if strings.Contains(line, "gateway/0") {
			input.WriteString(strings.Replace(line, "gateway/0", "gateway/1", 1))
		}
	}
	if err := serve(strings.NewReader(input.String()), &both); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"gateway/0", "gateway/1"} {
		var got strings.Builder
		for _, line := range strings.SplitAfter(both.String(), "\n") {
			if strings.Contains(line, name) || line == "next\n" {
				got.WriteString(strings.Replace(line, name, "gateway/0", 1))
			}
		}
		if got.String() != alone.String() {
			t.Errorf("%s acts differently next to another instance:\n%s\nalone:\n%s", name, got.String(), alone.String())
		}
	}
}

// TestMalformedInput checks that malformed input ends the program with an error that names the line.
func TestMalformedInput(t *testing.T) {
	var out bytes.Buffer
	err := serve(strings.NewReader("tick 5\nwhat is this\nover_to_you\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error %v", err)
	}
	if out.Len() != 0 {
		t.Errorf("output %q", out.String())
	}
}
