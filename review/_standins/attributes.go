package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
)

func init() { cases["attributes"] = attributes }

const (
	mysqlCaps = mysqlwire.CapConnectWithDB | mysqlwire.CapProtocol41 | mysqlwire.CapTransactions | mysqlwire.CapSecure |
		mysqlwire.CapPluginAuth | mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF | mysqlwire.CapQueryAttributes

	mysqlClients  = 8
	mysqlDuration = 20 * time.Second
	mysqlMost     = 3                     // statements that a crowded host takes at once
	mysqlBetween  = 30 * time.Millisecond // between a client's two commands
)

// mysqlRun is a statement that a host has begun.
type mysqlRun struct{ id, text string }

// mysqlHost is a database host that speaks MySQL's protocol.
type mysqlHost struct {
	uid      string
	primary  bool
	most     int // statements in hand; more are turned away; 0: no bound
	record   *record
	listener net.Listener
	mu       sync.Mutex
	inHand   int
	runs     []mysqlRun
	turned   int
}

func (h *mysqlHost) start() (err error) {
	if h.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			c, err := h.listener.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return nil
}

func (h *mysqlHost) serve(raw net.Conn) {
	defer raw.Close()
	c := framebuf.New(raw, mysqlwire.MaxPacket+4)
	var w mysqlwire.Writer
	w.Handshake("8.0.0-standin", 7, mysqlCaps)
	raw.Write(w.B)
	seq, b, err := mysqlwire.ReadPacket(c)
	if err != nil {
		return
	}
	login, err := mysqlwire.ParseLogin(b)
	if err != nil {
		return
	}
	w.Reset(seq + 1)
	w.OK(mysqlwire.HeadOK, mysqlwire.OK{}, login.Caps)
	for {
		if _, err := raw.Write(w.B); err != nil {
			return
		}
		seq, b, err := mysqlwire.ReadPacket(c)
		if err != nil || len(b) == 0 || b[0] != mysqlwire.ComQuery {
			return
		}
		w.Reset(seq + 1)
		cursor := mysqlwire.Cursor{B: b[1:]}
		attributes, text := cursor.Query(login.Caps)
		h.query(&w, login.Caps, attributes, string(text))
	}
}

// query answers one statement.
func (h *mysqlHost) query(w *mysqlwire.Writer, caps uint32, attributes []mysqlwire.Param, text string) {
	role, x1 := "standby", 0
	if h.primary {
		role, x1 = "primary", 1
	}
	now := time.Now().UnixMilli()
	if text == "SHOW pressure" {
		var column mysqlwire.Writer
		column.Column("pressure", mysqlwire.TypeVarString)
		report := fmt.Sprintf("x0=%.3f,x1=%d", float64(now)/1000, x1)
		w.Result(&mysqlwire.Result{Columns: [][]byte{column.B[4:]}, Rows: [][]byte{append([]byte{byte(len(report))}, report...)}}, caps)
		return
	}
	if !h.primary {
		w.Err(mysqlwire.Error{Code: 1290, State: "HY000", Text: "read-only"}, caps)
		return
	}
	id := ""
	for _, a := range attributes {
		if a.Name == "id" {
			id = a.Text()
		}
	}
	h.mu.Lock()
	if h.most > 0 && h.inHand >= h.most {
		h.turned++
		h.mu.Unlock()
		h.record.add(h.uid, "turns away id=%s: %s", id, text)
		w.Err(mysqlwire.Error{Code: 1203, State: "42000", Text: "queue full"}, caps)
		return
	}
	h.inHand++
	h.runs = append(h.runs, mysqlRun{id, text})
	h.mu.Unlock()
	h.record.add(h.uid, "begins id=%s: %s", id, text)
	time.Sleep(87*time.Millisecond + rand.N(63*time.Millisecond))
	h.mu.Lock()
	h.inHand--
	h.mu.Unlock()
	session := [][2]string{{"replication_role", role}, {"log_position", fmt.Sprint(time.Now().UnixMilli())}}
	w.Result(&mysqlwire.Result{OK: mysqlwire.OK{Affected: 1, Session: session}}, caps)
}

// mysqlDial logs in.
func mysqlDial(address string) (*framebuf.Conn, uint32, error) {
	raw, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, 0, err
	}
	c := framebuf.New(raw, mysqlwire.MaxPacket+4)
	seq, b, err := mysqlwire.ReadPacket(c)
	if err != nil {
		return nil, 0, err
	}
	handshake, err := mysqlwire.ParseHandshake(b)
	if err != nil {
		return nil, 0, err
	}
	caps := uint32(mysqlCaps) & handshake.Caps
	var w mysqlwire.Writer
	w.Reset(seq + 1)
	w.Login(mysqlwire.Login{Caps: caps, User: "svc", Database: "main", Plugin: mysqlwire.NativePassword})
	raw.Write(w.B)
	_, _, err = mysqlwire.ReadPacket(c)
	return c, caps, err
}

const operatorFile = `[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[mysql]
listen = %q
user = "svc"
database = "main"
probe = "SHOW pressure"
prepare_aim_ms = 500
prepare_deadline_ms = 2000
%s
`

// attributes has MySQL clients send a second command before the answer to the first, while a host turns statements away.
func attributes(rec *record, root string, disturbed bool) (bool, error) {
	hosts := []*mysqlHost{{uid: "jugendamt-1", primary: true}, {uid: "jugendamt-2"}}
	listed := ""
	for _, h := range hosts {
		h.record = rec
		if disturbed {
			h.most = mysqlMost
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.listener.Close()
		role := "standby"
		if h.primary {
			role = "primary"
		}
		listed += fmt.Sprintf("[[mysql.host]]\nuid = %q\nendpoint = %q\naz = \"nuernberg\"\npod_group = 0\nreplication = %q\n",
			h.uid, h.listener.Addr(), role)
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	shipped, err := os.ReadFile(filepath.Join(root, "deploy", "operator.toml"))
	if err != nil {
		return false, err
	}
	_, settings, _ := strings.Cut(string(shipped), "\n[settings]\n")
	d, err := deploy(rec, root, nil, nil)
	if err != nil {
		return false, err
	}
	defer d.stop()
	file := filepath.Join(d.dir, "operator.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(operatorFile, listen, listed)+"[settings]\n"+settings), 0o600); err != nil {
		return false, err
	}
	if err := d.startProcess([]string{"CRANEGATE_OPERATOR=" + file}, func() bool {
		c, _, err := mysqlDial(listen)
		if err != nil {
			return false
		}
		c.Close()
		return true
	}); err != nil {
		return false, err
	}
	sent := map[mysqlRun]bool{}
	outcomes := map[string]int{}
	var mu sync.Mutex
	end := time.Now().Add(mysqlDuration)
	var group sync.WaitGroup
	for range mysqlClients {
		group.Go(func() {
			c, caps, err := mysqlDial(listen)
			if err != nil {
				return
			}
			defer c.Close()
			for time.Now().Before(end) {
				time.Sleep(rand.N(400 * time.Millisecond))
				for i := range 2 {
					if i > 0 {
						time.Sleep(mysqlBetween)
					}
					id := newID()
					text := "/* c=zusage,cluster=0 */ INSERT INTO records (k, v) VALUES ('" + id + "', 'x')"
					mu.Lock()
					sent[mysqlRun{id, text}] = true
					mu.Unlock()
					var w mysqlwire.Writer
					w.Query([]mysqlwire.Param{mysqlwire.Attribute("id", id), mysqlwire.Attribute("d", "2000")}, []byte(text), caps)
					rec.add("client", "writes id=%s: %s", id, text)
					if _, err := c.Write(w.B); err != nil {
						return
					}
				}
				for range 2 {
					_, b, err := mysqlwire.ReadPacket(c)
					if err != nil {
						rec.add("client", "%v", err)
						return
					}
					outcome := "served"
					if b[0] == mysqlwire.HeadErr {
						e, _ := mysqlwire.ParseErr(b)
						outcome = e.Error()
					}
					mu.Lock()
					outcomes[outcome]++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	times := map[string]int{}
	unsent, twice := 0, 0
	for _, h := range hosts {
		for _, run := range h.runs {
			times[run.id]++
			if !sent[run] {
				unsent++
				rec.say("%s began id=%s with %s, which no client sent", h.uid, run.id, run.text)
			}
		}
	}
	for _, n := range times {
		if n > 1 {
			twice++
		}
	}
	rec.say("sent %d, begun %d, turned away %d, answers %v; begun and never sent %d, ids begun twice %d", len(sent), len(hosts[0].runs),
		hosts[0].turned, outcomes, unsent, twice)
	return unsent > 0, d.checkAlive()
}
