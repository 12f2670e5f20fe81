package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"cranegate/internal/gossip"
)

type membersCmd struct {
	where
	JSON bool `name:"json" help:"Print JSON."`
}

// Run asks the running gateway.
func (c membersCmd) Run() error {
	text, err := c.ask(http.MethodGet, "/members")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	var v gossip.View
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Errorf("reading the gateway's answer: %w", err)
	}
	return show(os.Stdout, v)
}

// show prints a view as a table, worst news first.
func show(out io.Writer, v gossip.View) error {
	switch {
	case v.Isolated:
		fmt.Fprintln(out, "THIS GATEWAY HEARS NOBODY: it is the one that is cut off.")
	case v.Unanswered:
		fmt.Fprintln(out, "NOBODY ANSWERS THIS GATEWAY: what it sends does not arrive.")
	case v.LiveShare <= 0.5:
		fmt.Fprintf(out, "THIS MAY BE THE LESSER SIDE OF A CUT: %.0f%% of the last settled view is here.\n", 100*v.LiveShare)
	}
	for _, name := range v.Conflicts {
		fmt.Fprintf(out, "TWO LIVE PROCESSES ARE CALLED %q: end one of them.\n", name)
	}
	if v.Rejected > 0 {
		fmt.Fprintf(out, "%d members were refused: there are as many as there may be.\n", v.Rejected)
	}
	fmt.Fprintf(out, "%d gateways are counted on; of a common budget this one uses %.4f.\n", v.Size, v.BudgetShare)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tADDRESS\tSTATE\tHEARD\tLINK")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\tthis gateway\n", v.Self.Name, v.Self.Zone, v.Self.Address, v.Self.State)
	for _, m := range v.Members {
		link := "direct"
		switch {
		case m.State == "failed" || m.State == "left":
			link = "-"
		case m.Suspect:
			link = "being tried"
		case m.Indirect:
			link = "through others alone"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f s ago\t%s\n", m.Name, m.Zone, m.Address, m.State, m.Age, link)
	}
	return w.Flush()
}
