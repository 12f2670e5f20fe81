package config

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"cranegate/internal/discovery"
)

// Defaults of MySQL.
const (
	defaultUser               = "svc"
	defaultDatabase           = "main"
	defaultHealthCheck        = "SHOW pressure"
	defaultPrepareObjectiveMS = 500
	defaultPrepareDeadlineMS  = 2000
	defaultHostState          = "SERVING"
	defaultHostCapacity       = 1
)

// MySQL configures the MySQL frontend with its database hosts. Of its keys, "probe" is the health check's statement and
// "prepare_aim_ms" the latency objective of a client's prepare.
type MySQL struct {
	Listen             string             `toml:"listen"`
	Discovery          string             `toml:"discovery"` // the address of discovery, as in the platform's configuration; may be empty if Hosts are given
	Hosts              []discovery.Target `toml:"host"`
	User               string             `toml:"user"`
	Database           string             `toml:"database"`
	PasswordEnv        string             `toml:"password_env"` // the environment variable that holds the password
	HealthCheck        string             `toml:"probe"`
	PrepareObjectiveMS int                `toml:"prepare_aim_ms"`
	PrepareDeadlineMS  int                `toml:"prepare_deadline_ms"`
}

// PrepareObjective returns the latency objective of a client's prepare.
func (m *MySQL) PrepareObjective() time.Duration {
	return time.Duration(m.PrepareObjectiveMS) * time.Millisecond
}

// PrepareDeadline returns how long a client's prepare may take.
func (m *MySQL) PrepareDeadline() time.Duration {
	return time.Duration(m.PrepareDeadlineMS) * time.Millisecond
}

// check sets defaults and returns an error that names the first fault.
func (m *MySQL) check(s *Settings) error {
	m.setDefaults()
	switch {
	case m.Listen == "":
		return errors.New("mysql: listen is missing")
	case s == nil:
		return errors.New("mysql: there are no settings")
	case m.Discovery == "" && len(m.Hosts) == 0:
		return errors.New("mysql: neither discovery nor hosts are given")
	case m.PrepareObjectiveMS < 0 || m.PrepareDeadlineMS < m.PrepareObjectiveMS:
		return errors.New("mysql: prepare_aim_ms and prepare_deadline_ms are out of order")
	}
	for i := range m.Hosts {
		host := &m.Hosts[i]
		if host.UID == "" || host.Endpoint == "" {
			return fmt.Errorf("mysql: host %d needs uid and endpoint", i)
		}
		host.State = cmp.Or(host.State, defaultHostState)
		host.Capacity = cmp.Or(host.Capacity, defaultHostCapacity)
	}
	return nil
}

func (m *MySQL) setDefaults() {
	m.User = cmp.Or(m.User, defaultUser)
	m.Database = cmp.Or(m.Database, defaultDatabase)
	m.HealthCheck = cmp.Or(m.HealthCheck, defaultHealthCheck)
	m.PrepareObjectiveMS = cmp.Or(m.PrepareObjectiveMS, defaultPrepareObjectiveMS)
	m.PrepareDeadlineMS = cmp.Or(m.PrepareDeadlineMS, defaultPrepareDeadlineMS)
}
