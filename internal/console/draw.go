package console

import (
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/lipgloss"
	"github.com/charmbracelet/x/ansi"

	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

// frameLines is the number of lines around the rows: the title, the summary or warning, the tabs, the column
// titles and the key hints.
const frameLines = 5

// Colour never carries information alone: late jobs also have a mark, and the selected row has an arrow.
var (
	bold   = lipgloss.NewStyle().Bold(true)
	faint  = lipgloss.NewStyle().Faint(true)
	alarm  = lipgloss.NewStyle().Foreground(lipgloss.Color("1"))
	active = lipgloss.NewStyle().Bold(true).Underline(true)
)

// View returns the screen as text.
func (m *Model) View() string {
	lines := []string{bold.Render(m.truncate(m.title())), m.truncate(m.summary()), m.tabs()}
	if s := m.warning(); s != "" {
		lines[1] = alarm.Render(m.truncate("! " + s))
	}
	switch {
	case m.showHelp:
		lines = append(lines, m.padLines(strings.Split(helpText, "\n"), m.visibleRowCount()+1)...)
	case m.showDetails:
		lines = append(lines, m.padLines(m.detailLines(), m.visibleRowCount()+1)...)
	default:
		lines = append(lines, m.tableLines()...)
	}
	return strings.Join(append(lines, faint.Render(m.truncate(m.keyHints()))), "\n")
}

// truncate cuts a line to the width of the screen.
func (m *Model) truncate(s string) string { return ansi.Truncate(s, max(1, m.width), "…") }

func (m *Model) padLines(lines []string, n int) []string {
	out := make([]string, n)
	for i := range min(n, len(lines)) {
		out[i] = m.truncate(lines[i])
	}
	return out
}

func (m *Model) title() string {
	s := m.state
	if s.Snapshot == nil {
		return "dykeledge " + printable(m.cluster) + ": no state yet"
	}
	who := ""
	if s.Scope != "" {
		who = " team " + printable(s.Scope)
	}
	return fmt.Sprintf("dykeledge %s%s  revision %d  %s  from %s", printable(m.cluster), who, s.Revision, ageText(s.Age(m.now())), printable(s.Controller))
}

func ageText(d time.Duration) string {
	if d < 10*time.Second {
		return fmt.Sprintf("%.1f s old", d.Seconds())
	}
	return formatDuration(d.Milliseconds()) + " old"
}

// warning returns why the screen may be out of date, "" if it is not.
func (m *Model) warning() string {
	s := m.state
	if s.Snapshot == nil {
		return printable(s.Warning)
	}
	if age := s.Age(m.now()); age > viewclient.MaxFreshAge {
		why := s.Warning
		if why == "" {
			why = "no newer answer yet"
		}
		return fmt.Sprintf("THIS IS %s: %s", strings.ToUpper(ageText(age)), printable(why))
	}
	return printable(s.Warning)
}

func (m *Model) summary() string {
	state := m.state
	if state.Snapshot == nil {
		return ""
	}
	var all view.Totals
	for i := range state.Teams {
		t := &state.Teams[i]
		all.Queued, all.Running = all.Queued+t.Queued, all.Running+t.Running
		all.Waiting, all.Placed = all.Waiting+t.Waiting, all.Placed+t.Placed
	}
	late, now := 0, m.controllerNowMs()
	state.Jobs("", func(j *view.Job) bool {
		if !j.Status.Final() && j.Behind(now) > 0 {
			late++
		}
		return true
	})
	return fmt.Sprintf("%d queued, %d running, %d late; tasks %d wait, %d placed; cpus %d/%d on %d",
		all.Queued, all.Running, late, all.Waiting, all.Placed, (state.Fleet.UsedCpus+500)/1000, state.Fleet.Cpus/1000, state.Fleet.Machines)
}

func (m *Model) tabs() string {
	var out []string
	for i, t := range m.tables {
		name := fmt.Sprintf("%d %s", i+1, t.Name)
		if i == m.tab {
			name = active.Render("[" + name + "]")
		}
		out = append(out, name)
	}
	return m.truncate(strings.Join(out, " "))
}

// tableLines returns the lines of the column titles and the rows on the screen.
func (m *Model) tableLines() []string {
	table := m.tables[m.tab]
	columns, indexes := m.visibleColumns(table)
	titles := make([]string, len(columns))
	for i, c := range columns {
		titles[i] = cell(c.Title, c)
	}
	lines := []string{bold.Render(m.truncate("  " + strings.Join(titles, " ")))}
	for i, row := range m.visibleRows() {
		cells := make([]string, len(columns))
		for k, c := range columns {
			cells[k] = cell(row.Cells[indexes[k]], c)
		}
		mark := "  "
		if m.firstVisibleRow+i == m.selectedRow {
			mark = "> "
		}
		line := m.truncate(mark + strings.TrimRight(strings.Join(cells, " "), " "))
		if row.BehindSchedule {
			line = alarm.Render(line)
		}
		lines = append(lines, line)
	}
	if len(m.rows) == 0 {
		message := "  nothing here"
		if m.filter != "" {
			message = "  nothing holds " + fmt.Sprintf("%q", m.filter)
		}
		lines = append(lines, faint.Render(m.truncate(message)))
	}
	for len(lines) < m.visibleRowCount()+1 {
		lines = append(lines, "")
	}
	return lines
}

// visibleColumns returns the columns that fit the width of the screen, with their indexes into Row.Cells. The
// last column is extended to the remaining width if it is aligned left.
func (m *Model) visibleColumns(table Table) (columns []Column, indexes []int) {
	left := m.width - 2
	for i, c := range table.Columns {
		if m.width >= c.MinScreenWidth {
			if c.Width == jobColumnWidth && m.width >= wideScreenWidth {
				c.Width = wideJobColumnWidth
			}
			columns, indexes = append(columns, c), append(indexes, i)
			left -= c.Width + 1
		}
	}
	if last := &columns[len(columns)-1]; !last.AlignRight {
		last.Width = max(8, last.Width+left+1)
	}
	return columns, indexes
}

func cell(s string, c Column) string {
	s = ansi.Truncate(s, c.Width, "…")
	fill := strings.Repeat(" ", max(0, c.Width-ansi.StringWidth(s)))
	if c.AlignRight {
		return fill + s
	}
	return s + fill
}

func (m *Model) keyHints() string {
	if m.editingFilter {
		return "filter: " + printable(m.filter) + "_   enter keeps it, esc drops it"
	}
	t := m.tables[m.tab]
	order := t.Orders[m.order[m.tab]]
	if m.reversed[m.tab] {
		order += ", reversed"
	}
	s := fmt.Sprintf("%d of %d  by %s  ", min(m.selectedRow+1, len(m.rows)), len(m.rows), order)
	if m.filter != "" {
		s += "with " + printable(m.filter) + "  "
	}
	return s + "? help  enter detail  / filter  s sort  q quit"
}

const helpText = `
  1-7, tab          choose a table             j k, arrows, space, b  move
  enter             details of what is chosen  esc   back, or drop the filter
  /                 show only rows that hold a text
  s  r              sort by the next column, reverse
  q                 quit

  !  behind schedule: the deadline has passed, or will have passed if what still
     waits starts now and takes as long as was estimated. On top.
  ?  failed on several machines before any of its tasks had completed

  All tables are of the one revision in the first line. It was the latest one as long
  ago as is said there; when that is over 2 s, the second line says so and why.
  Why a job waits is known only to the node that decides it, and is asked for what
  is on the screen.`

// detailLines returns the lines with all details of the selected row.
func (m *Model) detailLines() []string {
	state := m.state
	if state.Snapshot == nil {
		return nil
	}
	now := m.controllerNowMs()
	switch m.tables[m.tab].Name {
	case Queue, Running, Finished:
		j := state.Job(m.selectedKey)
		if j == nil {
			return []string{"", "  " + printable(m.selectedKey) + " is not listed any more"}
		}
		return m.jobDetailLines(j, now)
	case VictimSets:
		var out []string
		state.VictimSets(func(e *view.VictimSet) bool {
			if e.Key == m.selectedKey {
				out = append(out, "", fmt.Sprintf("  room for %s of %s, %s ago", printable(e.Job), printable(e.Team), formatDuration(now-e.ChosenAtMs)), "")
				for _, v := range e.Victims {
					out = append(out, fmt.Sprintf("  %s/%d of %s, attempt %d, score %.4f", printable(v.Job), v.Task, printable(v.Team), v.Attempt, v.Score))
				}
			}
			return true
		})
		return out
	}
	t := m.tables[m.tab]
	out := []string{""}
	for _, r := range m.rows {
		if r.Key == m.selectedKey {
			for i, c := range t.Columns {
				out = append(out, fmt.Sprintf("  %-10s %s", strings.ToLower(c.Title), r.Cells[i]))
			}
		}
	}
	return out
}

func (m *Model) jobDetailLines(job *view.Job, now int64) []string {
	formatTime := func(ms int64) string {
		if ms == 0 {
			return "-"
		}
		return time.UnixMilli(ms).Format("15:04:05") + fmt.Sprintf(" (%s ago)", formatDuration(now-ms))
	}
	kind := "array"
	if job.Service {
		kind = "service"
	}
	schedule := "no deadline"
	if job.DeadlineMs > 0 {
		schedule = "due " + time.UnixMilli(job.DeadlineMs).Format("15:04:05")
		if b := job.Behind(now); b > 0 {
			schedule += ", BEHIND by " + formatDuration(b)
		} else {
			schedule += ", " + formatDuration(-b) + " in hand"
		}
	}
	reason := "-"
	if w, ok := m.reasons[job.ID]; ok && w.Why != "" {
		by := "told by " + printable(w.Member) + ", which does not decide it"
		if w.OwnsShard {
			by = "decided by " + printable(w.Member)
		}
		reason = fmt.Sprintf("%s (%s, %s ago)", printable(w.Why), by, formatDuration(m.now().Sub(w.ReceivedAt).Milliseconds()))
	} else if t := waitReasonText(job, m.reasons); t != "" {
		reason = t
	}
	return []string{"", "  " + printable(job.ID) + "  " + job.Status.String(), "",
		fmt.Sprintf("  team       %s, class %s, share %d", printable(job.Team), printable(job.Class), job.Shard),
		fmt.Sprintf("  priority   %s, %s", job.Priority, kind),
		fmt.Sprintf("  tasks      %d: %d done, %d placed, %d waiting", job.Tasks, job.Done, job.Placed, job.Waiting()),
		fmt.Sprintf("  each       %s cpus, %s gpus, estimated %s", formatMilli(job.Cpus), formatMilli(job.Gpus), formatDuration(int64(job.EstimateMs))),
		"  submitted  " + formatTime(job.SubmittedMs),
		"  counts     from " + formatTime(job.ReadyMs),
		"  ended      " + formatTime(job.EndedMs),
		"  schedule   " + schedule,
		"  waits      " + reason}
}
