package console

import (
	"context"
	"slices"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"dykeledge/internal/viewclient"
)

// Model is the interactive screen. bubbletea calls its methods from one goroutine.
type Model struct {
	follower           *viewclient.Follower
	cluster            string
	ctx                context.Context //nolint:containedctx // bubbletea calls Init, Update and View without one
	tables             []Table
	state              *viewclient.State
	reasons            map[string]viewclient.WaitReason
	reasonsPending     bool
	reasonsRequestedAt time.Time
	width              int
	height             int
	tab                int
	order              []int // by table: index into Table.Orders
	reversed           []bool
	selectedRow        int // index into rows
	firstVisibleRow    int // index into rows of the first row on the screen
	selectedKey        string
	filter             string
	editingFilter      bool
	showDetails        bool
	showHelp           bool
	err                error
	now                func() time.Time
	rows               []Row // of the selected table, filtered and sorted
}

// New returns a screen of the states of a follower, which the caller runs. ctx bounds the requests for reasons
// and ends the screen.
func New(ctx context.Context, f *viewclient.Follower, cluster string) *Model {
	m := &Model{follower: f, cluster: cluster, ctx: ctx, tables: Tables(), state: f.State(), reasons: map[string]viewclient.WaitReason{}, width: 80, height: 24, now: time.Now}
	m.order, m.reversed = make([]int, len(m.tables)), make([]bool, len(m.tables))
	m.refreshRows()
	return m
}

type (
	stateMsg   struct{}
	tickMsg    struct{}
	reasonsMsg map[string]viewclient.WaitReason
	// EndMsg ends the console with an error.
	EndMsg struct{ Err error }
)

// Err returns the error that ended the console, nil if the user ended it.
func (m *Model) Err() error { return m.err }

// Init returns the commands that wait for the first state and start the tick.
func (m *Model) Init() tea.Cmd { return tea.Batch(m.waitForState(), tick()) }

// waitForState returns a command that waits for a newer state than the shown one.
func (m *Model) waitForState() tea.Cmd {
	changed := m.follower.Changed()
	if m.follower.State() != m.state {
		return func() tea.Msg { return stateMsg{} }
	}
	return func() tea.Msg {
		select {
		case <-changed:
		case <-m.ctx.Done():
		}
		return stateMsg{}
	}
}

// tick returns a command that redraws the screen after a second, to update the ages on it.
func tick() tea.Cmd { return tea.Tick(time.Second, func(time.Time) tea.Msg { return tickMsg{} }) }

// reasonsInterval is the minimum interval between automatic requests for the reasons why jobs wait. A key
// press sends a request at once.
const reasonsInterval = 2 * time.Second

// requestReasons returns a command that requests why the jobs on the screen wait, nil if none is due.
func (m *Model) requestReasons() tea.Cmd {
	if m.reasonsPending || m.now().Sub(m.reasonsRequestedAt) < reasonsInterval || m.state.Snapshot == nil {
		return nil
	}
	var ids []string
	if name := m.tables[m.tab].Name; m.showDetails && m.selectedKey != "" && name != Machines && name != Members && name != Teams && name != VictimSets {
		ids = []string{m.selectedKey}
	} else if name == Queue {
		for _, r := range m.visibleRows() {
			ids = append(ids, r.Key)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	m.reasonsPending, m.reasonsRequestedAt = true, m.now()
	return func() tea.Msg { return reasonsMsg(m.follower.Reasons(m.ctx, ids)) }
}

// Update handles a message: a key, a new screen size, a new state, a tick or reasons.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = x.Width, x.Height
		m.refreshRows()
	case stateMsg:
		if m.ctx.Err() != nil {
			return m, tea.Quit
		}
		m.state = m.follower.State()
		m.refreshRows()
		return m, tea.Batch(m.waitForState(), m.requestReasons())
	case tickMsg:
		m.refreshRows()
		return m, tea.Batch(tick(), m.requestReasons())
	case reasonsMsg:
		m.reasonsPending, m.reasons = false, x
		m.refreshRows()
	case EndMsg:
		m.err = x.Err
		return m, tea.Quit
	case tea.KeyMsg:
		if quit := m.handleKey(x.String(), x); quit {
			return m, tea.Quit
		}
		m.reasonsRequestedAt = time.Time{}
		return m, m.requestReasons()
	}
	return m, nil
}

// handleKey handles a key and reports whether it ends the console.
func (m *Model) handleKey(name string, msg tea.KeyMsg) (quit bool) {
	if name == "ctrl+c" {
		return true
	}
	switch {
	case m.editingFilter:
		m.editFilter(name, msg)
	case name == "q":
		return true
	case !m.handleMoveKey(name) && !m.handleTableKey(name):
		m.selectTableByNumber(name)
	}
	m.refreshRows()
	return false
}

// editFilter handles a key while the filter is edited.
func (m *Model) editFilter(name string, msg tea.KeyMsg) {
	switch name {
	case "enter":
		m.editingFilter = false
	case "esc":
		m.editingFilter, m.filter = false, ""
	case "backspace":
		if typed := []rune(m.filter); len(typed) > 0 {
			m.filter = string(typed[:len(typed)-1])
		}
	default:
		if msg.Type == tea.KeyRunes || msg.Type == tea.KeySpace {
			m.filter += string(msg.Runes)
		}
	}
}

// handleMoveKey handles a key that moves the selection, and reports whether it was one.
func (m *Model) handleMoveKey(name string) bool {
	page := max(1, m.visibleRowCount()-1)
	switch name {
	case "down", "j":
		m.moveSelection(1)
	case "up", "k":
		m.moveSelection(-1)
	case "pgdown", " ":
		m.moveSelection(page)
	case "pgup", "b":
		m.moveSelection(-page)
	case "home", "g":
		m.moveSelection(-len(m.rows))
	case "end", "G":
		m.moveSelection(len(m.rows))
	default:
		return false
	}
	return true
}

// handleTableKey handles a key that changes the table or its display, and reports whether it was one.
func (m *Model) handleTableKey(name string) bool {
	switch name {
	case "?":
		m.showHelp = !m.showHelp
	case "esc":
		m.back()
	case "enter":
		m.showDetails = !m.showDetails && m.selectedKey != ""
	case "/":
		m.editingFilter = true
	case "s":
		m.order[m.tab] = (m.order[m.tab] + 1) % len(m.tables[m.tab].Orders)
	case "r":
		m.reversed[m.tab] = !m.reversed[m.tab]
	case "tab", "right", "l":
		m.selectTable((m.tab + 1) % len(m.tables))
	case "shift+tab", "left", "h":
		m.selectTable((m.tab + len(m.tables) - 1) % len(m.tables))
	default:
		return false
	}
	return true
}

// selectTableByNumber selects the table whose number is the key, if there is one.
func (m *Model) selectTableByNumber(name string) {
	if len(name) == 1 && name[0] >= '1' && int(name[0]-'1') < len(m.tables) {
		m.selectTable(int(name[0] - '1'))
	}
}

// back closes the help or else the details, or else removes the filter.
func (m *Model) back() {
	switch {
	case m.showHelp:
		m.showHelp = false
	case m.showDetails:
		m.showDetails = false
	default:
		m.filter = ""
	}
}

// selectTable selects a table and its first row.
func (m *Model) selectTable(tab int) {
	if tab != m.tab {
		m.tab, m.selectedRow, m.firstVisibleRow, m.selectedKey, m.showDetails = tab, 0, 0, "", false
	}
}

// moveSelection moves the selection down by a number of rows, up if it is negative.
func (m *Model) moveSelection(by int) {
	m.selectedRow = max(0, min(m.selectedRow+by, len(m.rows)-1))
	if m.selectedRow < len(m.rows) {
		m.selectedKey = m.rows[m.selectedRow].Key
	}
}

// refreshRows recomputes the rows. The selection follows its row when other rows are added or removed, except
// that a selection of the first row stays on the first row. While details are shown the selected key is kept.
func (m *Model) refreshRows() {
	table := m.tables[m.tab]
	m.rows = table.Rows(m.state, m.controllerNowMs(), m.reasons, m.order[m.tab], m.reversed[m.tab], m.filter)
	if i := slices.IndexFunc(m.rows, func(r Row) bool { return r.Key == m.selectedKey }); i >= 0 && m.selectedRow > 0 {
		m.selectedRow = i
	}
	m.selectedRow = max(0, min(m.selectedRow, len(m.rows)-1))
	if !m.showDetails {
		m.selectedKey = ""
		if m.selectedRow < len(m.rows) {
			m.selectedKey = m.rows[m.selectedRow].Key
		}
	}
	if room := m.visibleRowCount(); m.selectedRow < m.firstVisibleRow {
		m.firstVisibleRow = m.selectedRow
	} else if m.selectedRow >= m.firstVisibleRow+room {
		m.firstVisibleRow = m.selectedRow - room + 1
	}
	m.firstVisibleRow = max(0, min(m.firstVisibleRow, len(m.rows)-1))
}

// controllerNowMs returns the present Unix time in milliseconds by the clock of the controller that sent the
// state, 0 without a state.
func (m *Model) controllerNowMs() int64 {
	if m.state.Snapshot == nil {
		return 0
	}
	return m.state.NowMs + m.now().Sub(m.state.RequestedAt).Milliseconds()
}

// visibleRowCount returns how many rows fit on the screen, at least 1.
func (m *Model) visibleRowCount() int { return max(1, m.height-frameLines) }

// visibleRows returns the rows on the screen.
func (m *Model) visibleRows() []Row {
	return m.rows[min(m.firstVisibleRow, len(m.rows)):min(m.firstVisibleRow+m.visibleRowCount(), len(m.rows))]
}
