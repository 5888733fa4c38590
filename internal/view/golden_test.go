package view

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"dykeledge/internal/golden"
)

// The golden files hold the pages that a released version sends for the model in model.json, named by their
// content and the reader's scope, and as JSON what the reader has after each page. A difference means that a
// reader of another version cannot decode the feed.

// goldenModel is the content of model.json.
type goldenModel struct {
	Teams     []Team      `json:"teams"`
	Jobs      []Job       `json:"jobs"`
	Machines  []Machine   `json:"machines"`
	Evictions []VictimSet `json:"evictions"`
	Head      Head        `json:"head"`
}

func readGoldenModel(t *testing.T) (content goldenModel) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(golden.Read(t, "model.json")))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&content); err != nil {
		t.Fatal(err)
	}
	return content
}

// build returns a new model with all rows of the content.
func (content *goldenModel) build() *Model {
	model := NewModel(content.Teams)
	for _, job := range content.Jobs {
		model.PutJob(job)
	}
	for _, machine := range content.Machines {
		model.PutMachine(machine)
	}
	for _, victimSet := range content.Evictions {
		model.PutVictimSet(victimSet)
	}
	return model
}

// applyChanges replaces the first job and the first machine and drops the last job, the last machine and the
// newest victim set.
func (content *goldenModel) applyChanges(model *Model) {
	job, machine := content.Jobs[0], content.Machines[0]
	job.Placed++
	machine.Spot = false
	model.PutJob(job)
	model.PutMachine(machine)
	model.DropJob(content.Jobs[len(content.Jobs)-1].ID)
	model.DropMachine(content.Machines[len(content.Machines)-1].Name)
	newest, _, _ := model.victimSets.Max()
	model.DropVictimSet(newest)
}

// goldenClock is the controller's clock when it writes a page.
const goldenClock = 1700000006000

// goldenReader reads a feed and compares each page with its golden file.
type goldenReader struct {
	scope  Scope
	cursor Cursor
	mirror *Model
}

func newGoldenReader(scope Scope) *goldenReader {
	return &goldenReader{scope: scope, mirror: NewMirror()}
}

// read compares the next page with its golden file, applies it to the mirror and returns it.
func (r *goldenReader) read(t *testing.T, snapshot *Snapshot, name string) *Page {
	t.Helper()
	golden.CheckBytes(t, name+".bin", snapshot.AppendPage(nil, r.scope, r.cursor, goldenClock))
	page, err := ReadPage(golden.Read(t, name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	page.Apply(r.mirror)
	r.cursor = page.Next
	return page
}

// contentJSON returns as JSON what the reader has after a page.
func (r *goldenReader) contentJSON(t *testing.T, page *Page) []byte {
	t.Helper()
	content := struct {
		Reset     bool         `json:"reset"`
		Epoch     uint64       `json:"epoch"`
		Seq       uint64       `json:"seq"`
		Head      *Head        `json:"head"`
		Jobs      []*Job       `json:"jobs"`
		Machines  []*Machine   `json:"machines"`
		Evictions []*VictimSet `json:"evictions"`
	}{page.Reset, page.Next.Epoch, page.Next.Seq, page.Head,
		r.mirror.jobs.Values(), r.mirror.machines.Values(), r.mirror.victimSets.Values()}
	text, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// TestGoldenPages reads a first page with all rows and a second one with changes.
func TestGoldenPages(t *testing.T) {
	for _, test := range []struct {
		reader string
		scope  Scope
	}{{"operators", Operators}, {"team", "red"}} {
		t.Run(test.reader, func(t *testing.T) {
			content := readGoldenModel(t)
			model, reader := content.build(), newGoldenReader(test.scope)
			page := reader.read(t, model.Snapshot(content.Head), "first."+test.reader)
			golden.CheckBytes(t, "first."+test.reader+".json", reader.contentJSON(t, page))
			content.applyChanges(model)
			page = reader.read(t, model.Snapshot(content.Head), "changes."+test.reader)
			golden.CheckBytes(t, "changes."+test.reader+".json", reader.contentJSON(t, page))
		})
	}
}

// TestGoldenMirror checks that a mirror encodes the page that it was read from byte for byte.
func TestGoldenMirror(t *testing.T) {
	const file = "first.operators.bin"
	page, err := ReadPage(golden.Read(t, file))
	if err != nil {
		t.Fatal(err)
	}
	mirror := NewMirror()
	page.Apply(mirror)
	golden.CheckBytes(t, file, mirror.SnapshotWithHead(*page.Head).AppendPage(nil, Operators, Cursor{}, goldenClock))
}

// TestGoldenFullPage checks that a feed longer than MaxPage is split into a full page and a second page with
// the rest.
func TestGoldenFullPage(t *testing.T) {
	content := readGoldenModel(t)
	model, reader := content.build(), newGoldenReader(Operators)
	for i := range 130 {
		job := content.Jobs[0]
		job.ID = fmt.Sprintf("job-%06d", 1000+i)
		job.Class = strings.Repeat("c", 2*maxTextBytes) // is truncated to maxTextBytes
		job.Team = strings.Repeat("t", 2*maxTextBytes)
		model.PutJob(job)
	}
	snapshot := model.Snapshot(content.Head)
	if page := reader.read(t, snapshot, "full.operators"); page.Head != nil {
		t.Error("a page that is not the last one has a head")
	}
	if page := reader.read(t, snapshot, "rest.operators"); page.Head == nil {
		t.Error("the last page has no head")
	}
}
