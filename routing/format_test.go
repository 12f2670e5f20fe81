package routing

import (
	"encoding/json"
	"testing"
)

// goldenSnapshot is a snapshot in the JSON form that every version reads and writes.
const goldenSnapshot = `{"Members":{"db-1":{"Role":1,"RoleDate":2,"Position":3,"PosAt":4,"HeardAt":5,"TrialAt":6,"Failed":7,"Shut":8,"Lost":0.5,` +
	`"Down":true,"StartedAt":9,"CreditAt":10,"SeenAt":11,"AskedAt":12,"WasAt":13,"AwayAt":14,"Credit":1.5,` +
	`"Window":[{"At":15,"Ratio":2.5,"Censored":true}]}},"Usual":[16],"Work":[17],"WorkAt":[18],` +
	`"Replicas":[{"At":19,"Ratio":3.5,"Censored":false}],"Primaries":[{"At":20,"Ratio":4.5,"Censored":false}],"MemberFlow":5.5,` +
	`"Worth":6.5,"Weight":7.5,"FlowAt":21,"StartAt":22,"TightUntil":23,"Searches":{"0":24},"Vain":{"1":8.5},"FurtherTries":9.5,"Probes":10.5}`

// TestSnapshotFormat pins the JSON form of snapshots, because processes of other versions read and write it.
func TestSnapshotFormat(t *testing.T) {
	var snapshot Snapshot
	if err := json.Unmarshal([]byte(goldenSnapshot), &snapshot); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(snapshot); err != nil || string(got) != goldenSnapshot {
		t.Errorf("encoded as %s, error %v", got, err)
	}
}
