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
	gatewayFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the running gateway's view of its fleet.
func (c membersCmd) Run() error {
	text, err := c.call(http.MethodGet, "/members")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	var view gossip.View
	if err := json.Unmarshal(text, &view); err != nil {
		return fmt.Errorf("reading the gateway's answer: %w", err)
	}
	return printMembers(os.Stdout, view)
}

// printMembers prints warnings, the most severe first, and a table of the members.
func printMembers(out io.Writer, view gossip.View) error {
	printWarnings(out, view)
	fmt.Fprintf(out, "%d gateways are counted on; this one uses %.4f of each fleet-wide budget.\n", view.Size, view.BudgetShare)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tZONE\tADDRESS\tSTATE\tHEARD\tLINK")
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t-\tthis gateway\n", view.Self.Name, view.Self.Zone, view.Self.Address, view.Self.State)
	for _, m := range view.Members {
		link := "direct"
		switch {
		case m.State == "failed" || m.State == "left":
			link = "-"
		case m.Suspect:
			link = "being tried"
		case m.Indirect:
			link = "through others alone"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f s ago\t%s\n", m.Name, m.Zone, m.Address, m.State, m.Age, link)
	}
	return table.Flush()
}

func printWarnings(out io.Writer, view gossip.View) {
	switch {
	case view.Isolated:
		fmt.Fprintln(out, "THIS GATEWAY RECEIVES NOTHING FROM OTHER MEMBERS: it is cut off from the fleet.")
	case view.Unanswered:
		fmt.Fprintln(out, "NO MEMBER ANSWERS THIS GATEWAY: its messages do not arrive.")
	case view.LiveShare <= 0.5:
		fmt.Fprintf(out, "THIS MAY BE THE MINORITY SIDE OF A PARTITION: it reaches %.0f%% of the last settled view.\n", 100*view.LiveShare)
	}
	for _, name := range view.Conflicts {
		fmt.Fprintf(out, "TWO LIVE PROCESSES HAVE THE NAME %q: stop one of them.\n", name)
	}
	if view.Rejected > 0 {
		fmt.Fprintf(out, "%d members were not added: the fleet has its maximum number of members.\n", view.Rejected)
	}
}
