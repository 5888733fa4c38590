package console

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

// Column is a column of a table. It is shown if the screen has at least MinScreenWidth columns of text.
type Column struct {
	Title          string
	Width          int
	AlignRight     bool
	MinScreenWidth int
}

// Row is a row of a table.
type Row struct {
	Key            string // a job's id, the name of a machine, controller or team, or a victim set's key
	Cells          []string
	BehindSchedule bool      // the deadline has passed or is expected to be missed, see view.Job.Behind
	sortValues     []float64 // by order, see Table.Orders
}

// Table is a table that the console shows.
type Table struct {
	Name    string
	Columns []Column
	Orders  []string // names of the sort orders; the first is the default
	rows    func(s *viewclient.State, now int64, why map[string]viewclient.WaitReason) []Row
}

// Widths of the column with the job id. A narrow screen truncates the id; the details show it in full.
const (
	jobColumnWidth     = 13
	wideJobColumnWidth = 22
	wideScreenWidth    = 110
)

// Names of the tables, in the order of their number keys.
const (
	Queue      = "queue"
	Running    = "running"
	Finished   = "finished"
	Teams      = "teams"
	Machines   = "machines"
	Members    = "nodes"
	VictimSets = "evictions"
)

// Tables returns all tables, in the order of their number keys.
func Tables() []Table {
	jobColumns := func(doneMinWidth int, last Column, more ...Column) []Column {
		return append(append([]Column{{"", 1, false, 0}, {"JOB", jobColumnWidth, false, 0}, {"TEAM", 8, false, 0}, {"CLASS", 10, false, 100}, {"PRIO", 4, false, 0},
			{"TASKS", 6, true, 0}, {"DONE", 6, true, doneMinWidth}, {"PLACED", 6, true, 0}}, more...), last)
	}
	jobOrders := []string{"schedule", "priority", "age", "tasks", "name"}
	return []Table{
		{Queue, jobColumns(90, Column{"WHY IT WAITS", 40, false, 0}, Column{"WAITS", 6, true, 0}, Column{"AGE", 6, true, 0}, Column{"DUE IN", 8, true, 110}), jobOrders,
			jobRows(func(j *view.Job) bool { return !j.Status.Final() && (j.Waiting() > 0 || j.UnmetDependencies > 0) }, true)},
		{Running, jobColumns(0, Column{"DUE IN", 8, true, 0}, Column{"WAITS", 6, true, 0}, Column{"AGE", 7, true, 0}, Column{"CPUS", 8, true, 0}), jobOrders,
			jobRows(func(j *view.Job) bool { return !j.Status.Final() && j.Placed > 0 }, false)},
		{Finished, jobColumns(0, Column{"LATE", 8, true, 0}, Column{"ENDED", 7, true, 0}, Column{"STATUS", 9, false, 0}), []string{"end", "schedule", "priority", "tasks", "name"}, finishedRows},
		{Teams, []Column{{"TEAM", 8, false, 0}, {"GUARANT.", 8, true, 0}, {"LIMIT", 8, true, 0}, {"USED", 8, true, 0}, {"BORROWED", 8, true, 0},
			{"DOMINANT", 8, true, 0}, {"WAITING", 8, true, 0}, {"JOBS", 6, true, 0}, {"RUNNING", 7, true, 0}, {"GPUS", 7, true, 90}, {"MONEY/H", 9, true, 100}},
			[]string{"dominant", "waiting", "name"}, teamRows},
		{Machines, []Column{{"MACHINE", 14, false, 0}, {"STATE", 9, false, 0}, {"TYPE", 8, false, 0}, {"ZONE", 6, false, 0}, {"KIND", 8, false, 0},
			{"SHARE", 5, true, 0}, {"TASKS", 5, true, 0}, {"CPUS", 11, true, 0}, {"GPUS", 9, true, 100}, {"PRICE/H", 9, true, 90}, {"TEAMS", 30, false, 110}},
			[]string{"name", "tasks", "used", "price"}, machineRows},
		{Members, []Column{{"NODE", 16, false, 0}, {"STATE", 10, false, 0}, {"LEADS", 5, false, 0}, {"SHARES", 30, false, 0}}, []string{"name"}, memberRows},
		{VictimSets, []Column{{"AGO", 7, true, 0}, {"FOR JOB", 12, false, 0}, {"TEAM", 9, false, 0}, {"OPEN", 5, false, 0}, {"VICTIMS", 7, true, 0},
			{"WHOSE", 36, false, 0}}, []string{"latest", "victims"}, victimSetRows},
	}
}

// Rows returns the rows of the table that contain the filter text, ignoring case, sorted by Orders[order]. now
// is the Unix time in milliseconds by the clock of the controller that sent the state.
func (t Table) Rows(state *viewclient.State, now int64, why map[string]viewclient.WaitReason, order int, reversed bool, filter string) []Row {
	if state.Snapshot == nil {
		return nil
	}
	rows := t.rows(state, now, why)
	if filter != "" {
		filter = strings.ToLower(filter)
		rows = slices.DeleteFunc(rows, func(r Row) bool { return !strings.Contains(strings.ToLower(strings.Join(r.Cells, " ")), filter) })
	}
	name := t.Orders[order] == "name"
	slices.SortStableFunc(rows, func(a, b Row) int {
		c := 0
		if !name {
			c = cmp.Compare(b.sortValues[order], a.sortValues[order]) // largest value first
		}
		if c == 0 {
			c = cmp.Compare(a.Key, b.Key)
		}
		if reversed {
			c = -c
		}
		return c
	})
	return rows
}

func jobCells(j *view.Job, now int64) (cells []string, late bool) {
	late = j.Behind(now) > 0
	mark := ""
	switch {
	case late:
		mark = "!"
	case j.Suspect:
		mark = "?"
	}
	return []string{mark, printable(j.ID), printable(j.Team), printable(j.Class), priorityText(j), formatInt(j.Tasks), formatInt(j.Done), formatInt(j.Placed)}, late
}

func priorityText(j *view.Job) string {
	p := j.Priority.String()
	return p[:min(len(p), 4)]
}

// jobSortValues returns the sort values of a job: schedule, priority, age, number of tasks, and 0 for the
// name.
func jobSortValues(j *view.Job, now int64) []float64 {
	behind := math.Inf(-1)
	if j.DeadlineMs != 0 && j.Behind(now) > 0 {
		behind = float64(j.Behind(now))
	}
	if math.IsInf(behind, -1) {
		behind = -1e15 + float64(j.Priority)*1e14 + float64(now-j.ReadyMs) // jobs in time come after late ones, by priority and age
	}
	return []float64{behind, float64(j.Priority), float64(now - j.ReadyMs), float64(j.Tasks), 0}
}

func jobRows(include func(*view.Job) bool, forQueue bool) func(*viewclient.State, int64, map[string]viewclient.WaitReason) []Row {
	return func(state *viewclient.State, now int64, why map[string]viewclient.WaitReason) (rows []Row) {
		state.Jobs("", func(job *view.Job) bool {
			if !include(job) {
				return true
			}
			cells, late := jobCells(job, now)
			waits := formatInt(job.Waiting())
			if job.UnmetDependencies > 0 {
				waits = "-"
			}
			cells = append(cells, waits, formatDuration(now-job.ReadyMs))
			if forQueue {
				cells = append(cells, deadlineText(job, now), waitReasonText(job, why))
			} else {
				cells = append(cells, formatMilli(job.Cpus*uint64(job.Placed)), deadlineText(job, now))
			}
			rows = append(rows, Row{Key: job.ID, Cells: cells, BehindSchedule: late, sortValues: jobSortValues(job, now)})
			return true
		})
		return rows
	}
}

// waitReasonText returns why a job waits: the unmet dependencies of its row, or else the reason that a
// controller returned, with its age if that exceeds viewclient.MaxFreshAge. It returns "" if neither is known.
func waitReasonText(job *view.Job, why map[string]viewclient.WaitReason) string {
	if job.UnmetDependencies > 0 {
		return fmt.Sprintf("waits for %d other jobs", job.UnmetDependencies)
	}
	if w, ok := why[job.ID]; ok {
		if age := time.Since(w.ReceivedAt); age > viewclient.MaxFreshAge {
			return fmt.Sprintf("%s (%s ago)", printable(w.Why), formatDuration(age.Milliseconds()))
		}
		return printable(w.Why)
	}
	if job.Preempting {
		return "evicted tasks are still stopping"
	}
	return ""
}

func finishedRows(state *viewclient.State, now int64, _ map[string]viewclient.WaitReason) (rows []Row) {
	state.Jobs("", func(job *view.Job) bool {
		if !job.Status.Final() {
			return true
		}
		cells, late := jobCells(job, now)
		lateBy, ended := "", ""
		if late {
			lateBy = formatDuration(job.Behind(now))
		}
		if job.EndedMs > 0 {
			ended = formatDuration(now - job.EndedMs)
		}
		order := jobSortValues(job, now)
		order[0], order[1], order[2] = float64(job.EndedMs), order[0], order[1]
		rows = append(rows, Row{Key: job.ID, Cells: append(cells, ended, job.Status.String(), lateBy), BehindSchedule: late, sortValues: order})
		return true
	})
	return rows
}

func teamRows(state *viewclient.State, _ int64, _ map[string]viewclient.WaitReason) (rows []Row) {
	for i := range state.Teams {
		t := &state.Teams[i]
		borrowed, _ := t.Borrowed()
		limit := "-"
		if t.CpusMax > 0 {
			limit = formatMilli(t.CpusMax)
		}
		rows = append(rows, Row{Key: t.Name, Cells: []string{printable(t.Name), formatMilli(t.Cpus), limit, formatMilli(t.UsedCpus), formatMilli(borrowed),
			fmt.Sprintf("%.1f%%", float64(t.DominantPM)/10), formatMilli(t.WaitingCpus), formatInt(t.Queued + t.Running), formatInt(t.Running), formatMilli(t.UsedGpus), formatMoney(t.RateMicro)},
			sortValues: []float64{float64(t.DominantPM), float64(t.WaitingCpus), 0}})
	}
	if o := state.Others; o != nil {
		rows = append(rows, Row{Key: "~", Cells: []string{"all others", "", "", formatMilli(o.UsedCpus), "", "", formatMilli(o.WaitingCpus), formatInt(o.Queued + o.Running),
			formatInt(o.Running), formatMilli(o.UsedGpus), ""}, sortValues: []float64{-1, -1, 0}})
	}
	return rows
}

func machineRows(state *viewclient.State, _ int64, _ map[string]viewclient.WaitReason) (rows []Row) {
	state.Machines(func(machine *view.Machine) bool {
		kind := "ordinary"
		if machine.Spot {
			kind = "spot"
		}
		var teams []string
		for _, u := range machine.Uses {
			teams = append(teams, fmt.Sprintf("%s %s", printable(u.Team), formatMilli(u.Cpus)))
		}
		rows = append(rows, Row{Key: machine.Name, Cells: []string{printable(machine.Name), machine.State.String(), printable(machine.Type), printable(machine.Zone), kind, formatInt(machine.Shard), formatInt(machine.Tasks),
			formatMilli(machine.UsedCpus) + "/" + formatMilli(machine.Cpus), formatMilli(machine.UsedGpus) + "/" + formatMilli(machine.Gpus), formatMoney(machine.Price), strings.Join(teams, ", ")},
			sortValues: []float64{0, float64(machine.Tasks), float64(machine.UsedCpus), float64(machine.Price)}})
		return true
	})
	return rows
}

func memberRows(state *viewclient.State, _ int64, _ map[string]viewclient.WaitReason) (rows []Row) {
	for _, member := range state.Members {
		memberState, leads, shards := "gone", "", make([]string, len(member.Shards))
		switch {
		case member.Alive && member.NotReady:
			memberState = "no workers"
		case member.Alive:
			memberState = "alive"
		}
		if member.Leader {
			leads = "yes"
		}
		for i, shard := range member.Shards {
			shards[i] = formatInt(shard)
		}
		rows = append(rows, Row{Key: member.Name, Cells: []string{printable(member.Name), memberState, leads, strings.Join(shards, " ")}, sortValues: []float64{0}})
	}
	return rows
}

func victimSetRows(state *viewclient.State, now int64, _ map[string]viewclient.WaitReason) (rows []Row) {
	state.VictimSets(func(victimSet *view.VictimSet) bool {
		count := map[string]int{}
		var victimTeams []string
		for _, v := range victimSet.Victims {
			if count[v.Team]++; count[v.Team] == 1 {
				victimTeams = append(victimTeams, v.Team)
			}
		}
		slices.Sort(victimTeams)
		for i, t := range victimTeams {
			victimTeams[i] = fmt.Sprintf("%s %d", printable(t), count[t])
		}
		job, team, status := printable(victimSet.Job), printable(victimSet.Team), "over"
		if job == "" {
			job, team = "another", "-"
		}
		if victimSet.Open {
			status = "open"
		}
		rows = append(rows, Row{Key: victimSet.Key, Cells: []string{formatDuration(now - victimSet.ChosenAtMs), job, team, status, formatInt(len(victimSet.Victims)), strings.Join(victimTeams, ", ")},
			sortValues: []float64{float64(victimSet.ChosenAtMs), float64(len(victimSet.Victims))}})
		return true
	})
	return rows
}

// printable replaces the unprintable characters of a name that users chose, because a terminal would execute
// control characters.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '·'
		}
		return r
	}, s)
}

func formatInt[T ~int | ~uint32 | ~uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }

// formatMilli formats a value in thousandths.
func formatMilli(v uint64) string { return strconv.FormatFloat(float64(v)/1000, 'f', -1, 64) }

func formatMoney(micro uint64) string { return strconv.FormatFloat(float64(micro)/1e6, 'f', 2, 64) }

// formatDuration formats a duration in milliseconds, in at most seven characters if it is below 100 days.
func formatDuration(ms int64) string {
	s := ms / 1000
	sign := ""
	if s < 0 {
		s, sign = -s, "-"
	}
	switch {
	case s < 60:
		return fmt.Sprintf("%s%ds", sign, s)
	case s < 3600:
		return fmt.Sprintf("%s%dm%02ds", sign, s/60, s%60)
	case s < 100*3600:
		return fmt.Sprintf("%s%dh%02dm", sign, s/3600, s/60%60)
	}
	return fmt.Sprintf("%s%dd%02dh", sign, s/86400, s/3600%24)
}

// deadlineText returns the time until the deadline of a job, negative after it, "-" without a deadline.
func deadlineText(j *view.Job, now int64) string {
	if j.DeadlineMs == 0 {
		return "-"
	}
	return formatDuration(j.DeadlineMs - now)
}
