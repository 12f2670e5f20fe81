// Command cranegate is the gateway: it takes requests from clients and sends them on to database hosts, as the
// decision module says. The platform's configuration is named by PROXY_CONFIG; an operator's file, which sets up
// the MySQL front, the balancers' checks and the other gateways, by the flag --operator. One of the two is needed.
//
// Without a command it runs. The other commands check an operator's file, and ask a running gateway and act on it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cranegate/internal/config"
	"cranegate/internal/logging"
)

// cli is the command line.
type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run the gateway; this is what it does without a command."`
	Members membersCmd `cmd:"" help:"Show what a running gateway holds of the others."`
	Check   checkCmd   `cmd:"" help:"Read an operator's file, and say what is wrong with it."`

	Ready    readyCmd    `cmd:"" help:"Ask whether a running gateway can serve."`
	Host     hostCmd     `cmd:"" help:"Take a database host out of a running gateway's use, or call it back."`
	Lameduck lameduckCmd `cmd:"" help:"Have a running gateway send its clients away, or take clients again."`
}

func main() {
	if len(os.Args) == 1 { // as the platform starts it, on part of a core: without building a parser
		runCmd{Operator: os.Getenv("CRANEGATE_OPERATOR")}.Run()
		return
	}
	var c cli
	// The flags have been written with one dash.
	for i, a := range os.Args {
		if i > 0 && (strings.HasPrefix(a, "-operator") || strings.HasPrefix(a, "-counters")) {
			os.Args[i] = "-" + a
		}
	}
	ctx := kong.Parse(&c, kong.Name("cranegate"), kong.Description("A gateway for queries from many clients to many database hosts."))
	ctx.FatalIfErrorf(ctx.Run())
}

type runCmd struct {
	Operator string        `env:"CRANEGATE_OPERATOR" help:"The operator's file; none by default."`
	Counters time.Duration `help:"Log the counters every so often; 0: at SIGUSR1 and at the end alone."`
}

// flushFor is how long the end of the program waits for its last lines to be taken.
const flushFor = 50 * time.Millisecond

// Run runs the gateway until SIGTERM. A failure is logged as the last line.
func (r runCmd) Run() error {
	logging.IgnoreSIGPIPE()
	logs := logging.NewSink(os.Stderr)
	logging.Use(logging.New(logs, logging.Level(os.Getenv(logging.LevelVariable))))
	defer logs.Flush(flushFor)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	changed := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(changed, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	p, o, err := load(path, r.Operator, config.Load)
	if err == nil {
		err = run(ctx, p, o, r.Counters, logs, changed, func() (*config.Platform, *config.Operator, error) {
			return load(path, r.Operator, config.Reload)
		})
	}
	if err != nil {
		slog.Error("ended", "error", err)
		logs.Flush(flushFor)
		os.Exit(1)
	}
	return nil
}

type checkCmd struct {
	File string `arg:"" help:"The operator's file. Settings that it lacks come from the configuration that PROXY_CONFIG names."`
}

// Run checks a file.
func (c checkCmd) Run() error {
	_, o, err := load(os.Getenv("PROXY_CONFIG"), c.File, config.Load)
	if err != nil {
		return err
	}
	fmt.Printf("%s: in order; mysql %s, zones %s, fleet %s\n", c.File, onOff(o.MySQL != nil), onOff(o.Zones != nil), onOff(o.Fleet != nil))
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// load reads the configuration; what is not given is nil.
func load(platform, operator string, read func(string) (*config.Platform, error)) (p *config.Platform, o *config.Operator, err error) {
	if platform == "" && operator == "" {
		return nil, nil, errors.New("neither PROXY_CONFIG nor an operator's file is given")
	}
	var s *config.Settings
	if platform != "" {
		if p, err = read(platform); err != nil {
			return nil, nil, err
		}
		s = &p.Settings
	}
	if operator != "" {
		o, err = config.LoadOperator(operator, s)
	}
	return p, o, err
}
