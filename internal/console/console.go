package console

import (
	"context"
	"slices"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"dykeledge/internal/viewclient"
)

// Model is the screen of the duty room. bubbletea calls it from one goroutine.
type Model struct {
	follow   *viewclient.Follower
	cluster  string
	ctx      context.Context //nolint:containedctx // bubbletea calls Init, Update and View without one
	tables   []Table
	state    *viewclient.State
	why      map[string]viewclient.Why
	asking   bool
	askedAt  time.Time
	width    int
	height   int
	tab      int
	order    []int // by table
	reversed []bool
	row      int // chosen, of all rows
	top      int // first row on the screen
	chosen   string
	filter   string
	typing   bool
	detail   bool
	help     bool
	err      error
	now      func() time.Time
	cached   []Row // of the present table and state
}

// New returns a console of a follower that runs elsewhere; ctx bounds its questions.
func New(ctx context.Context, f *viewclient.Follower, cluster string) *Model {
	m := &Model{follow: f, cluster: cluster, ctx: ctx, tables: Tables(), state: f.State(), why: map[string]viewclient.Why{}, width: 80, height: 24, now: time.Now}
	m.order, m.reversed = make([]int, len(m.tables)), make([]bool, len(m.tables))
	m.list()
	return m
}

type (
	stateMsg struct{}
	tickMsg  struct{}
	whyMsg   map[string]viewclient.Why
	// EndMsg ends the console with an error that it shows.
	EndMsg struct{ Err error }
)

// Err returns what ended the console, nil if its user did.
func (m *Model) Err() error { return m.err }

// Init begins to wait for the first state.
func (m *Model) Init() tea.Cmd { return tea.Batch(m.await(), tick()) }

// await waits for a newer state.
func (m *Model) await() tea.Cmd {
	ch := m.follow.Changed()
	if m.follow.State() != m.state {
		return func() tea.Msg { return stateMsg{} }
	}
	return func() tea.Msg {
		select {
		case <-ch:
		case <-m.ctx.Done():
		}
		return stateMsg{}
	}
}

// tick makes ages grow on the screen.
func tick() tea.Cmd { return tea.Tick(time.Second, func(time.Time) tea.Msg { return tickMsg{} }) }

// askEvery is how often the controllers are asked why the jobs on the screen wait.
const askEvery = 2 * time.Second

// ask asks why the jobs on the screen wait.
func (m *Model) ask() tea.Cmd {
	if m.asking || m.now().Sub(m.askedAt) < askEvery || m.state.Snapshot == nil {
		return nil
	}
	var ids []string
	if name := m.tables[m.tab].Name; m.detail && m.chosen != "" && name != Machines && name != Members && name != Teams && name != Evictions {
		ids = []string{m.chosen}
	} else if name == Queue {
		for _, r := range m.visible() {
			ids = append(ids, r.Key)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	m.asking, m.askedAt = true, m.now()
	return func() tea.Msg { return whyMsg(m.follow.Reasons(m.ctx, ids)) }
}

// Update takes a key or news.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = x.Width, x.Height
		m.list()
	case stateMsg:
		if m.ctx.Err() != nil {
			return m, tea.Quit
		}
		m.state = m.follow.State()
		m.list()
		return m, tea.Batch(m.await(), m.ask())
	case tickMsg:
		m.list()
		return m, tea.Batch(tick(), m.ask())
	case whyMsg:
		m.asking, m.why = false, x
		m.list()
	case EndMsg:
		m.err = x.Err
		return m, tea.Quit
	case tea.KeyMsg:
		if quit := m.key(x.String(), x); quit {
			return m, tea.Quit
		}
		m.askedAt = time.Time{}
		return m, m.ask()
	}
	return m, nil
}

// key takes a key and tells whether it ends the console.
func (m *Model) key(name string, msg tea.KeyMsg) (quit bool) {
	if name == "ctrl+c" {
		return true
	}
	switch {
	case m.typing:
		m.typeFilter(name, msg)
	case name == "q":
		return true
	case !m.moveKey(name) && !m.tableKey(name):
		m.tableNumber(name)
	}
	m.list()
	return false
}

// typeFilter takes a key while a filter is typed.
func (m *Model) typeFilter(name string, msg tea.KeyMsg) {
	switch name {
	case "enter":
		m.typing = false
	case "esc":
		m.typing, m.filter = false, ""
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

// moveKey takes a key that chooses another row, and tells whether it was one.
func (m *Model) moveKey(name string) bool {
	page := max(1, m.room()-1)
	switch name {
	case "down", "j":
		m.move(1)
	case "up", "k":
		m.move(-1)
	case "pgdown", " ":
		m.move(page)
	case "pgup", "b":
		m.move(-page)
	case "home", "g":
		m.move(-len(m.cached))
	case "end", "G":
		m.move(len(m.cached))
	default:
		return false
	}
	return true
}

// tableKey takes a key that changes what is shown, and tells whether it was one.
func (m *Model) tableKey(name string) bool {
	switch name {
	case "?":
		m.help = !m.help
	case "esc":
		m.back()
	case "enter":
		m.detail = !m.detail && m.chosen != ""
	case "/":
		m.typing = true
	case "s":
		m.order[m.tab] = (m.order[m.tab] + 1) % len(m.tables[m.tab].Orders)
	case "r":
		m.reversed[m.tab] = !m.reversed[m.tab]
	case "tab", "right", "l":
		m.turn((m.tab + 1) % len(m.tables))
	case "shift+tab", "left", "h":
		m.turn((m.tab + len(m.tables) - 1) % len(m.tables))
	default:
		return false
	}
	return true
}

// tableNumber turns to the table with a number.
func (m *Model) tableNumber(name string) {
	if len(name) == 1 && name[0] >= '1' && int(name[0]-'1') < len(m.tables) {
		m.turn(int(name[0] - '1'))
	}
}

// back leaves the help, the details, or else the filter.
func (m *Model) back() {
	switch {
	case m.help:
		m.help = false
	case m.detail:
		m.detail = false
	default:
		m.filter = ""
	}
}

// turn turns to a table.
func (m *Model) turn(tab int) {
	if tab != m.tab {
		m.tab, m.row, m.top, m.chosen, m.detail = tab, 0, 0, "", false
	}
}

// move chooses the row so many further down.
func (m *Model) move(by int) {
	m.row = max(0, min(m.row+by, len(m.cached)-1))
	if m.row < len(m.cached) {
		m.chosen = m.cached[m.row].Key
	}
}

// list brings the rows up to date. The chosen row stays chosen when others come and go.
func (m *Model) list() {
	table := m.tables[m.tab]
	m.cached = table.Rows(m.state, m.clock(), m.why, m.order[m.tab], m.reversed[m.tab], m.filter)
	if i := slices.IndexFunc(m.cached, func(r Row) bool { return r.Key == m.chosen }); i >= 0 && m.row > 0 {
		m.row = i
	}
	m.row = max(0, min(m.row, len(m.cached)-1))
	if !m.detail {
		m.chosen = ""
		if m.row < len(m.cached) {
			m.chosen = m.cached[m.row].Key
		}
	}
	if room := m.room(); m.row < m.top {
		m.top = m.row
	} else if m.row >= m.top+room {
		m.top = m.row - room + 1
	}
	m.top = max(0, min(m.top, len(m.cached)-1))
}

// clock is the time of day by the clock of the controller that the state came from, in milliseconds.
func (m *Model) clock() int64 {
	if m.state.Snapshot == nil {
		return 0
	}
	return m.state.Now + m.now().Sub(m.state.Sent).Milliseconds()
}

// room is how many rows fit on the screen.
func (m *Model) room() int { return max(1, m.height-frameLines) }

// visible are the rows on the screen.
func (m *Model) visible() []Row {
	return m.cached[min(m.top, len(m.cached)):min(m.top+m.room(), len(m.cached))]
}
