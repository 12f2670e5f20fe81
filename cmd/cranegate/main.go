// Command cranegate is the gateway: it accepts requests from clients and forwards them to the database hosts that package
// routing chooses. PROXY_CONFIG names the platform's configuration. The flag --operator names an operator's file, which
// configures the MySQL frontend, the balancers' checks and the fleet of gateways. At least one of the two is needed.
//
// Without a command it runs the gateway. The other commands check an operator's file, or call a running gateway.
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

// flushTimeout is how long the end of the program waits for its last log lines to be written.
const flushTimeout = 50 * time.Millisecond

// cli is the command line. Kong takes commands, flags and their names from the fields.
type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run the gateway. This is the default command."`
	Members membersCmd `cmd:"" help:"Show a running gateway's view of the fleet's members."`
	Check   checkCmd   `cmd:"" help:"Validate an operator's file."`

	Ready    readyCmd    `cmd:"" help:"Check whether a running gateway is ready to serve."`
	Host     hostCmd     `cmd:"" help:"Detach a database host from a running gateway, or attach it again."`
	Lameduck lameduckCmd `cmd:"" help:"Drain the clients of a running gateway, or accept clients again."`
}

func main() {
	if len(os.Args) == 1 { // as the platform starts it, on part of a core: avoid the cost of the parser
		runCmd{Operator: os.Getenv("CRANEGATE_OPERATOR")}.Run()
		return
	}
	acceptSingleDashFlags(os.Args)
	var c cli
	ctx := kong.Parse(&c, kong.Name("cranegate"), kong.Description("A gateway for queries from many clients to many database hosts."))
	ctx.FatalIfErrorf(ctx.Run())
}

// acceptSingleDashFlags rewrites -operator and -counters, the spelling of earlier versions, to two dashes.
func acceptSingleDashFlags(args []string) {
	for i, arg := range args {
		if i > 0 && (strings.HasPrefix(arg, "-operator") || strings.HasPrefix(arg, "-counters")) {
			args[i] = "-" + arg
		}
	}
}

type runCmd struct {
	Operator string        `env:"CRANEGATE_OPERATOR" help:"The operator's file; none by default."`
	Counters time.Duration `help:"Interval between log lines with the counters; 0: only at SIGUSR1 and at the end."`
}

// Run runs the gateway until SIGTERM or SIGINT. On an error it exits with 1, and the error is the last log line.
func (r runCmd) Run() error {
	logging.IgnoreSIGPIPE()
	logs := logging.NewSink(os.Stderr)
	logging.Use(logging.New(logs, logging.Level(os.Getenv(logging.LevelVariable))))
	defer logs.Flush(flushTimeout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1) // one pending signal covers all that arrive before it is handled
	signal.Notify(reloadSignals, syscall.SIGHUP)
	if err := r.serve(ctx, logs, reloadSignals); err != nil {
		slog.Error("ended", "error", err)
		logs.Flush(flushTimeout)
		os.Exit(1)
	}
	return nil
}

// serve loads the configuration and runs the gateway until ctx ends.
func (r runCmd) serve(ctx context.Context, logs *logging.Sink, reloadSignals <-chan os.Signal) error {
	path := os.Getenv("PROXY_CONFIG")
	platform, operator, err := loadConfig(path, r.Operator, config.Load)
	if err != nil {
		return err
	}
	return run(ctx, runOptions{
		platform:        platform,
		operator:        operator,
		counterInterval: r.Counters,
		logs:            logs,
		reloadSignals:   reloadSignals,
		reload: func() (*config.Platform, *config.Operator, error) {
			return loadConfig(path, r.Operator, config.Reload)
		},
	})
}

type checkCmd struct {
	File string `arg:"" help:"The operator's file. Settings that it lacks come from the configuration that PROXY_CONFIG names."`
}

// Run validates the file and prints which parts it turns on.
func (c checkCmd) Run() error {
	_, operator, err := loadConfig(os.Getenv("PROXY_CONFIG"), c.File, config.Load)
	if err != nil {
		return err
	}
	fmt.Printf("%s: in order; mysql %s, zones %s, fleet %s\n", c.File,
		onOff(operator.MySQL != nil), onOff(operator.Zones != nil), onOff(operator.Fleet != nil))
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// loadConfig reads the platform's configuration, with the function read, and the operator's file. An empty path gives a nil result.
// Settings that the operator's file lacks come from the platform's configuration.
func loadConfig(platformPath, operatorPath string, read func(string) (*config.Platform, error)) (platform *config.Platform, operator *config.Operator, err error) {
	if platformPath == "" && operatorPath == "" {
		return nil, nil, errors.New("neither PROXY_CONFIG nor an operator's file is given")
	}
	var settings *config.Settings
	if platformPath != "" {
		if platform, err = read(platformPath); err != nil {
			return nil, nil, err
		}
		settings = &platform.Settings
	}
	if operatorPath != "" {
		operator, err = config.LoadOperator(operatorPath, settings)
	}
	return platform, operator, err
}
