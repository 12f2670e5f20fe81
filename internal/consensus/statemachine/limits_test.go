package statemachine

import "testing"

// TestClientLimit stores results of 1,024 clients; the 1,025th gets Undecided.
func TestClientLimit(t *testing.T) {
	s := New()
	for id := uint64(1); id <= 1025; id++ {
		data, err := Command{Key: Key{id, 1}, Op: Set, Name: "x", AnyVersion: true}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		wantCode, wantClients := OK, int(id)
		if id > 1024 {
			wantCode, wantClients = Undecided, 1024
		}
		_, result, _ := s.Apply(id, data)
		if result.Code != wantCode || len(s.clients) != wantClients {
			t.Fatalf("client %d: %v, results of %d clients are stored", id, result.Code, len(s.clients))
		}
	}
}
