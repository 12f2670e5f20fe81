package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

const (
	smallMemoryMB   = 32 // the least that the platform gives a gateway
	memoryClients   = 200
	memoryTestFor   = 4 * time.Second
	longValueDigits = 128 << 10 // of a value of 64 KiB
)

// memoryRequest has a client send one request. The answer does not matter.
type memoryRequest func(h *harness, client *memoryClient, id string) error

// memoryClient is a client of one of the protocols.
type memoryClient struct {
	postgres *fake.PostgresClient
	mysql    *fake.MySQLClient
}

// longWrite writes a long value.
func longWrite(_ *harness, client *memoryClient, id string) error {
	text := fmt.Sprintf(writeQuery, id, strings.Repeat("9f", longValueDigits/2))
	if client.mysql != nil {
		_, err := client.mysql.Query(text)
		return err
	}
	_, err := client.postgres.Ask(text)
	return err
}

// manyAttributes sends a query with the most attributes that the protocol takes. Each is a few bytes in the packet.
func manyAttributes(_ *harness, client *memoryClient, id string) error {
	const attributes = 4096
	all := make([]mysqlwire.Param, attributes)
	for i := range all {
		all[i] = mysqlwire.Param{Type: mysqlwire.TypeTiny, Name: "a", Value: []byte{1}}
	}
	_, err := client.mysql.Query(fmt.Sprintf(writeQuery, id, id), all...)
	return err
}

// shortRead reads a value, which is long where longMySQLResult replaces the answer.
func shortRead(_ *harness, client *memoryClient, id string) error {
	_, err := client.mysql.Query(fmt.Sprintf(readQuery, id, id))
	return err
}

// longMySQLResult replaces the answer to a read in the MySQL protocol by a result of four rows, with 480 KiB in all.
func longMySQLResult(_ string, answer []byte) fake.Malformed {
	const rows, rowBytes = 4, 120 << 10
	if !bytes.Contains(answer, []byte("value of")) {
		return fake.Malformed{Answer: answer}
	}
	var column, row, w mysqlwire.Writer
	column.Column("v", mysqlwire.TypeVarString)
	row.String(strings.Repeat("v", rowBytes))
	result := &mysqlwire.Result{Columns: [][]byte{column.B[4:]}}
	for range rows {
		result.Rows = append(result.Rows, row.B)
	}
	w.Reset(1)
	w.Result(result, mysqlwire.CapProtocol41|mysqlwire.CapDeprecateEOF)
	return fake.Malformed{Answer: w.B}
}

// TestMemoryUnderManyClients has 200 clients send large requests, or get large results, at once from a gateway with the smallest memory
// limit. Its memory must stay below the limit: copies of statements, attributes of a few bytes each and results of MySQL hosts were not
// charged to any budget.
func TestMemoryUnderManyClients(t *testing.T) {
	for _, c := range []struct {
		name    string
		mysql   bool
		request memoryRequest
	}{
		{"PostgreSQL, long writes", false, longWrite},
		{"MySQL, long writes", true, longWrite},
		{"MySQL, many attributes", true, manyAttributes},
		{"MySQL, long results", true, shortRead},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startGateway(t, nil)
			h.restartWithMemory(smallMemoryMB, longMySQLResult)
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for i := range memoryClients {
				clients.Go(func() { h.sendUntil(stop, c.mysql, fmt.Sprint("m", i, "-"), c.request) })
			}
			peak := 0
			for end := time.Now().Add(memoryTestFor); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				peak = max(peak, h.ownMemoryKiB())
			}
			close(stop)
			kill(h.cmd)
			clients.Wait()
			if peak == 0 || peak > smallMemoryMB<<10 {
				t.Errorf("the process took %d KiB of its own, with a limit of %d MB", peak, smallMemoryMB)
			}
			t.Logf("%d KiB", peak)
		})
	}
}

// restartWithMemory kills the program and starts it with both frontends, under a memory limit. From then on the hosts' answers are
// replaced.
func (h *harness) restartWithMemory(megabytes int, answers func(id string, answer []byte) fake.Malformed) {
	h.t.Helper()
	kill(h.cmd)
	for _, host := range h.hosts {
		h.until("the host's connections have ended", func() bool { return host.Conns() == 0 })
		host.Malform = answers
	}
	h.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": megabytes, "sockets": 1024}
	h.writeConfig()
	h.log = &fake.LogBuffer{}
	restarted := exec.Command(program, h.cmd.Args[1:]...)
	restarted.Env = h.cmd.Env
	h.cmd = restarted
	h.launch(h.cmd)
	h.waitServing()
}

// sendUntil connects a client again and again, and has it send requests until the channel is closed or no connection is possible.
func (h *harness) sendUntil(stop <-chan struct{}, mysql bool, prefix string, request memoryRequest) {
	for n := 0; ; {
		client, closeClient, err := h.dialMemoryClient(mysql)
		for ; err == nil; n++ {
			select {
			case <-stop:
				closeClient()
				return
			default:
			}
			err = request(h, client, fmt.Sprint(prefix, n))
		}
		closeClient()
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// dialMemoryClient connects a client of a protocol. The second result, which is never nil, closes it.
func (h *harness) dialMemoryClient(mysql bool) (*memoryClient, func(), error) {
	address := h.postgresAddress
	if mysql {
		address = h.mysqlAddress
	}
	conn, err := dialWithDeadline(address)
	if err != nil {
		return nil, func() {}, err
	}
	client := &memoryClient{}
	if mysql {
		client.mysql, err = fake.DialMySQL(conn, mysqlwire.CapQueryAttributes)
	} else {
		client.postgres, err = fake.DialPostgres(conn, "")
	}
	return client, func() { conn.Close() }, err
}

// ownMemoryKiB returns the memory of the program's own, without its text, in KiB; 0 if it has ended.
func (h *harness) ownMemoryKiB() (kib int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(value, &kib)
		}
	}
	return kib
}
