package storage

import (
	"bytes"
	"encoding/json"
	"testing"

	"dykeledge/internal/protocol"
)

// productionRecords are records as the production version before the packed layout writes them (commit
// a8cf51d). Until the packed layout is enabled, this version must read them and write them unchanged,
// because controllers of that version rewrite the records that they read without unknown fields.
var productionRecords = []struct{ key, value string }{
	{Root + "fleet/host-000001", `{"t":4,"h":"t16","b":"a","l":true,"at":1700000000,"m":[{"h":"host-000001","r":0},{"h":"host-000002","r":0,"a":"10.1.0.2:9000"}]}`},
	{Root + "job/job-000007", `{"s":{"c":"train","p":2,"cpu":4,"mem":4,"img":"img-1","gb":0.5,"ty":["t16"],"l":true,"e":10,"due":90},"at":1700000000123,"n":9,"tm":"red"}`},
	{Root + "job/job-000008", `{"s":{"c":"scan","p":1,"cpu":1,"mem":4,"img":"img-2","gb":0.5,"z":"a","sp":true,"e":10,"m":5,"mc":1},"at":1700000000456,"d":"BQ","n":3,"nd":2,"tm":"red","x":true}`},
	{Root + "rack/0", `{"s":0,"t":5,"m":[{"h":"host-000001","w":1,"x":[{"j":"job-000007","p":[0,9,1700000003,3,1,9,1700000003,3]},{"j":"job-000008","p":[1,10,1700000004,0]}]},{"h":"host-000002","t":8,"w":2,"k":true,"d":true}],"e":[{"j":"job-000007","n":[4,2]}]}`},
	{Root + "evict/job-000007", `{"s":0,"v":[{"h":"host-000001","j":"job-000008","t":1,"a":10,"x":1.5}],"r":[{"h":"host-000001","n":1}],"at":1700000005000}`},
	{Root + "share/0", `{"n":"n0","i":1,"t":2}`},
	{Root + "leader", `{"n":"n0","i":1}`},
	{Root + "node/n0", `{"i":1,"p":"10.0.0.1:8080"}`},
}

// The record fields that the production version reads, with values of any type.
type (
	productionGroup struct {
		Shard        any `json:"s"`
		FencingToken any `json:"t"`
		Machines     []struct {
			Name         any `json:"h"`
			FencingToken any `json:"t"`
			Incarnation  any `json:"w"`
			Addr         any `json:"a"`
			Returning    any `json:"c"`
			Unhealthy    any `json:"k"`
			Draining     any `json:"d"`
			Tasks        []struct {
				Job     any `json:"j"`
				Numbers any `json:"p"`
			} `json:"x"`
		} `json:"m"`
		Completed []struct {
			Job   any `json:"j"`
			Tasks any `json:"n"`
		} `json:"e"`
	}
	productionFleet struct {
		FencingToken  any `json:"t"`
		Type          any `json:"h"`
		Zone          any `json:"b"`
		Spot          any `json:"l"`
		ProvisionedAt any `json:"at"`
		Machines      []struct {
			Name  any `json:"h"`
			Group any `json:"r"`
			Addr  any `json:"a"`
		} `json:"m"`
	}
	productionSpec struct {
		Class              any `json:"c"`
		Shape              any `json:"k"`
		Priority           any `json:"p"`
		Cpus               any `json:"cpu"`
		Gpus               any `json:"gpu"`
		Mem                any `json:"mem"`
		Image              any `json:"img"`
		ImageGB            any `json:"gb"`
		Types              any `json:"ty"`
		Zone               any `json:"z"`
		OneZone            any `json:"oz"`
		Spread             any `json:"sp"`
		Spot               any `json:"l"`
		Estimate           any `json:"e"`
		CheckpointInterval any `json:"m"`
		CheckpointCost     any `json:"mc"`
		Deadline           any `json:"due"`
	}
	productionJob struct {
		Spec      *productionSpec `json:"s"`
		Submitted any             `json:"at"`
		Done      any             `json:"d"`
		Final     any             `json:"f"`
		Tasks     any             `json:"n"`
		DoneCount any             `json:"nd"`
		Team      any             `json:"tm"`
		Suspect   any             `json:"x"`
	}
	productionVictimSet struct {
		Shard   any `json:"s"`
		AtMs    any `json:"at"`
		Victims []struct {
			Machine any `json:"h"`
			Job     any `json:"j"`
			Task    any `json:"t"`
			Attempt any `json:"a"`
			Score   any `json:"x"`
		} `json:"v"`
		Reservations []struct {
			Machine any `json:"h"`
			Slots   any `json:"n"`
		} `json:"r"`
	}
)

// productionCache returns a cache with productionRecords applied.
func productionCache(t *testing.T) *Cache {
	t.Helper()
	cache := newTestCache(t, "red")
	for i, record := range productionRecords {
		if err := cache.Apply(record.key, json.RawMessage(record.value), uint64(i+1), false); err != nil {
			t.Fatal(err)
		}
	}
	return cache
}

// readStrictly decodes a record into one of the production types and fails the test on an unknown
// field.
func readStrictly(t *testing.T, raw json.RawMessage, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Errorf("%s: %v", raw, err)
	}
}

// TestPlainLayoutUntilPackedEnabled checks that records are read and written as in production until
// the packed layout is enabled, and that they stay packed from then on.
func TestPlainLayoutUntilPackedEnabled(t *testing.T) {
	t.Run("written as read", func(t *testing.T) { checkWrittenAsRead(t, productionCache(t)) })
	t.Run("no unknown field", func(t *testing.T) { checkProductionFields(t, productionCache(t)) })
	t.Run("packed once enabled", func(t *testing.T) { checkPackedOnceEnabled(t, productionCache(t)) })
}

func checkWrittenAsRead(t *testing.T, cache *Cache) {
	t.Helper()
	group := cache.Groups[0]
	victims := cache.VictimSets["job-000007"].VictimSetRecord
	fleet, _ := cache.FleetRecordWithout(cache.machines.fleets["host-000001"], nil)
	written := map[string]json.RawMessage{
		Root + "rack/0":            EncodeGroup(cache.GroupRecordOf(group, group.Completed, nil), cache.Packed()),
		Root + "fleet/host-000001": EncodeFleet(&fleet, cache.Packed()),
		Root + "evict/job-000007":  EncodeVictimSet(&victims, cache.Packed()),
		Root + "share/0":           Encode(cache.Shards[0].ShardRecord),
		Root + "leader":            Encode(cache.Leader.LeaderRecord),
		Root + "node/n0":           Encode(cache.Members["n0"].MemberRecord),
	}
	for _, id := range []string{"job-000007", "job-000008"} {
		job := cache.Job(id)
		written[JobKey(id)] = Encode(cache.JobRecordOf(job, job.SavedDone, job.SavedDone.Count(), ""))
	}
	if len(written) != len(productionRecords) {
		t.Errorf("%d records are written, want %d", len(written), len(productionRecords))
	}
	for _, record := range productionRecords {
		if raw := written[record.key]; string(raw) != record.value {
			t.Errorf("%s is written as\n%s, want\n%s", record.key, raw, record.value)
		}
	}
}

// checkProductionFields checks that records in the plain layout have only fields that the production
// version reads.
func checkProductionFields(t *testing.T, cache *Cache) {
	t.Helper()
	group := GroupRecord{
		Shard: 1, FencingToken: 2,
		Machines:  []GroupMachine{{"h", 1, 2, "a", true, true, true, false, []PlacedTasks{{"j", []uint64{1, 2, 3, 4}}}}},
		Completed: []CompletedTasks{{"j", []int{1}}},
	}
	fleet, _ := cache.FleetRecordWithout(cache.machines.fleets["host-000001"], nil)
	victims := cache.VictimSets["job-000007"].VictimSetRecord
	readStrictly(t, EncodeGroup(&group, cache.Packed()), &productionGroup{})
	readStrictly(t, EncodeFleet(&fleet, cache.Packed()), &productionFleet{})
	readStrictly(t, EncodeVictimSet(&victims, cache.Packed()), &productionVictimSet{})
	job := cache.Job("job-000007")
	for _, final := range []protocol.JobStatus{"", protocol.Done, protocol.Cancelled} {
		readStrictly(t, Encode(cache.JobRecordOf(job, job.Done, job.DoneCount, final)), &productionJob{})
	}
}

// checkPackedOnceEnabled checks that a record is written packed once the packed layout is enabled, that
// it decodes to the same state, and that the plain layout can't be enabled again.
func checkPackedOnceEnabled(t *testing.T, cache *Cache) {
	t.Helper()
	group, job := cache.Groups[0], cache.Job("job-000007")
	if err := cache.Apply(LayoutKey, Encode(LayoutRecord{Version: LayoutPacked}), 50, false); err != nil || !cache.Packed() {
		t.Fatal("enabling the packed layout failed", err)
	}
	raw := EncodeGroup(cache.GroupRecordOf(group, group.Completed, nil), cache.Packed())
	for _, record := range productionRecords {
		if record.key == GroupKey(0) && len(raw) >= len(record.value) {
			t.Errorf("the packed record takes %d bytes, no fewer than the plain one", len(raw))
		}
	}
	tasks, done := len(group.Machines[0].Tasks), job.DoneCount
	err := cache.Apply(Root+"rack/0", raw, 51, false)
	if err != nil || len(group.Machines[0].Tasks) != tasks || job.DoneCount != done || !group.Machines[1].Unhealthy {
		t.Errorf("applying the packed record: error %v, %d tasks", err, len(group.Machines[0].Tasks))
	}
	if err := cache.Apply(LayoutKey, Encode(LayoutRecord{Version: LayoutPlain}), 52, false); err != nil || !cache.Packed() {
		t.Error("the packed layout was disabled by an earlier layout record", err)
	}
}
