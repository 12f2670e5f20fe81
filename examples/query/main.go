// Command query sends a read and a write through the gateway in each protocol, and prints the answers.
package main

import (
	"flag"
	"fmt"
	"log"
	"net"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

func main() {
	pg := flag.String("postgres", "127.0.0.1:6432", "address of the PostgreSQL frontend")
	my := flag.String("mysql", "127.0.0.1:6306", "address of the MySQL frontend")
	flag.Parse()
	id := fmt.Sprintf("%x", time.Now().UnixNano())
	read := "/* id=" + id + "r,c=platzsuche,d=600,cluster=0 */ SELECT v FROM records WHERE k = '7f3a'"
	write := "/* id=" + id + "w,c=zusage,d=2000,cluster=0 */ INSERT INTO records (k, v) VALUES ('7f3a', 'x')"

	raw, err := net.Dial("tcp", *pg)
	check(err)
	p, err := fake.DialPostgres(raw, "")
	check(err)
	for _, text := range []string{read, write} {
		r, err := p.Ask(text)
		check(err)
		fmt.Printf("postgres: %+v\n", r)
	}

	raw, err = net.Dial("tcp", *my)
	check(err)
	m, err := fake.DialMySQL(raw, mysqlwire.CapQueryAttributes)
	check(err)
	r, err := m.Query(write)
	check(err)
	fmt.Printf("mysql, text: %+v\n", r)
	_, st, _, err := m.Prepare("/* c=platzsuche,cluster=0 */ SELECT v FROM records WHERE k = ?")
	check(err)
	for i := range 2 {
		r, err := m.Execute(st, []mysqlwire.Param{mysqlwire.Attribute("", fmt.Sprint("key-", i))},
			mysqlwire.Attribute("id", fmt.Sprint(id, "p", i)), mysqlwire.Attribute("d", "600"))
		check(err)
		fmt.Printf("mysql, prepared: %+v\n", r)
	}
}

func check(err error) {
	if err != nil {
		log.Fatal(err)
	}
}
