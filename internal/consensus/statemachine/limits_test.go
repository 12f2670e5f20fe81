package statemachine

import "testing"

// TestClientLimit stores results of 1,024 clients; the 1,025th gets Undecided.
func TestClientLimit(t *testing.T) {
	state := New()
	for id := uint64(1); id <= 1025; id++ {
		data, err := Command{Key: Key{id, 1}, Op: Set, Name: "x", AnyVersion: true}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		wantCode, wantClients := OK, int(id)
		if id > 1024 {
			wantCode, wantClients = Undecided, 1024
		}
		_, result, _ := state.Apply(id, data)
		if result.Code != wantCode || len(state.clients) != wantClients {
			t.Fatalf("client %d: code %v, results of %d clients are stored", id, result.Code, len(state.clients))
		}
	}
}
