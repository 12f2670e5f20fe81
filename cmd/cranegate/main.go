// Command cranegate is the gateway: it takes requests from clients and sends them on to database hosts, as the
// decision module says. The platform's configuration is named by PROXY_CONFIG; an operator's file, which sets up
// the MySQL front and the balancers' checks, by the flag -operator. One of the two is needed.
package main

import (
	"context"
	"errors"
	"flag"
	"log"
	"os"
	"os/signal"
	"syscall"

	"cranegate/internal/config"
)

func main() {
	log.SetFlags(log.Ldate | log.Lmicroseconds | log.LUTC)
	operator := flag.String("operator", os.Getenv("CRANEGATE_OPERATOR"), "the operator's file; none by default")
	counters := flag.Duration("counters", 0, "log the counters every so often; 0: at SIGUSR1 and at the end alone")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	changed := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(changed, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	p, o, err := load(path, *operator, config.Load)
	if err == nil {
		err = run(ctx, p, o, *counters, changed, func() (*config.Platform, *config.Operator, error) {
			return load(path, *operator, config.Reload)
		})
	}
	if err != nil {
		log.Printf("event=ended error=%q", err)
		os.Exit(1)
	}
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
