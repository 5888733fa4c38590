package storage

import (
	"bytes"
	"encoding/json"
	"testing"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// Records as the version in production before the packed layout writes them (commit
// a8cf51d). Until the gate opens this version must read them and write the same, since
// controllers of that version rewrite what they read and drop what they do not know.
var before = []struct{ key, value string }{
	{Root + "fleet/host-000001", `{"t":4,"h":"t16","b":"a","l":true,"at":1700000000,"m":[{"h":"host-000001","r":0},{"h":"host-000002","r":0,"a":"10.1.0.2:9000"}]}`},
	{Root + "job/job-000007", `{"s":{"c":"train","p":2,"cpu":4,"mem":4,"img":"img-1","gb":0.5,"ty":["t16"],"l":true,"e":10,"due":90},"at":1700000000123,"n":9,"tm":"red"}`},
	{Root + "job/job-000008", `{"s":{"c":"scan","p":1,"cpu":1,"mem":4,"img":"img-2","gb":0.5,"z":"a","sp":true,"e":10,"m":5,"mc":1},"at":1700000000456,"d":"BQ","n":3,"nd":2,"tm":"red","x":true}`},
	{Root + "rack/0", `{"s":0,"t":5,"m":[{"h":"host-000001","w":1,"x":[{"j":"job-000007","p":[0,9,1700000003,3,1,9,1700000003,3]},{"j":"job-000008","p":[1,10,1700000004,0]}]},{"h":"host-000002","t":8,"w":2,"k":true,"d":true}],"e":[{"j":"job-000007","n":[4,2]}]}`},
	{Root + "evict/job-000007", `{"s":0,"v":[{"h":"host-000001","j":"job-000008","t":1,"a":10,"x":1.5}],"r":[{"h":"host-000001","n":1}],"at":1700000005000}`},
	{Root + "share/0", `{"n":"n0","i":1,"t":2}`},
	{Root + "leader", `{"n":"n0","i":1}`},
	{Root + "node/n0", `{"i":1,"p":"10.0.0.1:8080"}`},
}

// What that version reads: the fields of its records and no others.
type (
	beforeTasks   struct{ J, P any }
	beforeMachine struct {
		H, T, W, A, C, K, D any
		X                   []beforeTasks
	}
	beforeRack struct {
		S, T any
		M    []beforeMachine
		E    []struct{ J, N any }
	}
	beforeFleet struct {
		T, H, B, L, At any
		M              []struct{ H, R, A any }
	}
	beforeJob struct {
		S  *struct{ C, K, P, Cpu, Gpu, Mem, Img, Gb, Ty, Z, Oz, Sp, L, E, M, Mc, Due any }
		At any
		D  any
		F  any
		N  any
		Nd any
		Tm any
		X  any
	}
	beforeEvict struct {
		S, At any
		V     []struct{ H, J, T, A, X any }
		R     []struct{ H, N any }
	}
)

func TestBeforeTheGate(t *testing.T) {
	cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}}})
	old := map[string]string{}
	for i, r := range before {
		old[r.key] = r.value
		if err := cache.Apply(r.key, json.RawMessage(r.value), uint64(i+1), false); err != nil {
			t.Fatal(err)
		}
	}
	group, fleet := cache.Groups[0], cache.machines.fleets["host-000001"]
	evicted := cache.VictimSets["job-000007"].VictimSetRecord
	rec, _ := cache.FleetWithout(fleet, nil)
	written := map[string]json.RawMessage{
		Root + "rack/0":            EncodeGroup(cache.GroupRecordOf(group, group.Completed, nil), cache.Packed()),
		Root + "fleet/host-000001": EncodeFleet(&rec, cache.Packed()),
		Root + "evict/job-000007":  EncodeVictimSet(&evicted, cache.Packed()),
		Root + "share/0":           Encode(cache.Shards[0].ShardRecord),
		Root + "leader":            Encode(cache.Leader.LeaderRecord),
		Root + "node/n0":           Encode(cache.Members["n0"].MemberRecord),
	}
	for _, id := range []string{"job-000007", "job-000008"} {
		j := cache.Job(id)
		written[JobKey(id)] = Encode(cache.JobRecordOf(j, j.SavedDone, j.SavedDone.Count(), ""))
	}
	for key, raw := range written {
		if string(raw) != old[key] {
			t.Errorf("%s is written as\n%s, not\n%s", key, raw, old[key])
		}
	}
	// Whatever else is written before the gate, that version knows every field of it.
	job := cache.Job("job-000007")
	full := GroupRecord{Shard: 1, FencingToken: 2, Machines: []GroupMachine{{"h", 1, 2, "a", true, true, true, false,
		[]PlacedTasks{{"j", []uint64{1, 2, 3, 4}}}}}, Completed: []CompletedTasks{{"j", []int{1}}}}
	strict := func(raw json.RawMessage, into any) {
		t.Helper()
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		if err := d.Decode(into); err != nil {
			t.Errorf("%s: %v", raw, err)
		}
	}
	strict(EncodeGroup(&full, cache.Packed()), &beforeRack{})
	strict(EncodeFleet(&rec, cache.Packed()), &beforeFleet{})
	strict(EncodeVictimSet(&evicted, cache.Packed()), &beforeEvict{})
	for _, f := range []protocol.JobStatus{"", protocol.Done, protocol.Cancelled} {
		strict(Encode(cache.JobRecordOf(job, job.Done, job.DoneCount, f)), &beforeJob{})
	}
	// From the gate on the same is written packed, and read as it was.
	if err := cache.Apply(LayoutKey, Encode(LayoutRecord{Version: LayoutPacked}), 50, false); err != nil || !cache.Packed() {
		t.Fatal("the gate does not open", err)
	}
	raw := EncodeGroup(cache.GroupRecordOf(group, group.Completed, nil), cache.Packed())
	if len(raw) >= len(old[Root+"rack/0"]) {
		t.Errorf("packed it takes %d bytes", len(raw))
	}
	tasks, done := len(group.Machines[0].Tasks), job.DoneCount
	if err := cache.Apply(Root+"rack/0", raw, 51, false); err != nil || len(group.Machines[0].Tasks) != tasks || job.DoneCount != done || !group.Machines[1].Unhealthy {
		t.Errorf("read again: %v, %d tasks", err, len(group.Machines[0].Tasks))
	}
	// It never closes again.
	if err := cache.Apply(LayoutKey, Encode(LayoutRecord{Version: LayoutPlain}), 52, false); err != nil || !cache.Packed() {
		t.Error("the gate has closed", err)
	}
}
