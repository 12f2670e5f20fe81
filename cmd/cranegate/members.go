package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"cranegate/internal/config"
	"cranegate/internal/peers"
)

type membersCmd struct {
	Admin    string `help:"Address of the running gateway's admin listener."`
	Operator string `env:"CRANEGATE_OPERATOR" help:"Its operator's file, which names that address."`
	JSON     bool   `name:"json" help:"Print JSON."`
}

// Run asks the running gateway.
func (c membersCmd) Run() error {
	if c.Admin == "" && c.Operator != "" {
		_, o, err := load(os.Getenv("PROXY_CONFIG"), c.Operator, config.Load)
		if err != nil {
			return err
		}
		c.Admin = o.Admin.Listen
	}
	if c.Admin == "" {
		return errors.New("neither --admin nor an operator's file with [admin] is given")
	}
	text, err := ask(c.Admin, "/members")
	if err != nil {
		return fmt.Errorf("asking the gateway: %w", err)
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	var v peers.View
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Errorf("asking the gateway: %w", err)
	}
	return show(os.Stdout, v)
}

// askFor and answerMost bound what a gateway is waited for and read: a thousand members take less.
const (
	askFor     = 3 * time.Second
	answerMost = 4 << 20
)

// ask gets a page of a gateway's admin listener.
func ask(address, page string) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", address, askFor)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askFor))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", page, address); err != nil {
		return nil, err
	}
	r := bufio.NewReader(io.LimitReader(conn, answerMost))
	status, err := r.ReadString('\n')
	for line := status; err == nil && line != "\r\n"; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	text, err := io.ReadAll(r)
	if err == nil && !strings.HasPrefix(status, "HTTP/1.1 200 ") {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	return text, err
}

// show prints a view as a table, worst news first.
func show(out io.Writer, v peers.View) error {
	switch {
	case v.Cut:
		fmt.Fprintln(out, "THIS GATEWAY HEARS NOBODY: it is the one that is cut off.")
	case v.Unheard:
		fmt.Fprintln(out, "NOBODY ANSWERS THIS GATEWAY: what it sends does not arrive.")
	case v.Share <= 0.5:
		fmt.Fprintf(out, "THIS MAY BE THE LESSER SIDE OF A CUT: %.0f%% of the last settled view is here.\n", 100*v.Share)
	}
	for _, name := range v.Conflicts {
		fmt.Fprintf(out, "TWO LIVE PROCESSES ARE CALLED %q: end one of them.\n", name)
	}
	if v.Refused > 0 {
		fmt.Fprintf(out, "%d members were refused: there are as many as there may be.\n", v.Refused)
	}
	fmt.Fprintf(out, "%d gateways are counted on; of a common budget this one uses %.4f.\n", v.Size, v.Part)
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
		case m.Unreached:
			link = "through others alone"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f s ago\t%s\n", m.Name, m.Zone, m.Address, m.State, m.Age, link)
	}
	return w.Flush()
}
