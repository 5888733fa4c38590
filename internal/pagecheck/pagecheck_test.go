package pagecheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// codeQuote matches a text in backquotes.
var codeQuote = regexp.MustCompile("`([^`\n]+)`")

// codeName matches a package, or a function, method or type of one, like internal/controller/schedule.Place.
var codeName = regexp.MustCompile(`^((?:cmd|internal)(?:/[a-z]+)+)((?:\.[A-Za-z]+)*)$`)

// sourceFile matches the path of a Go file of the repository.
var sourceFile = regexp.MustCompile(`^(?:cmd|internal)/[a-z_/]+\.go$`)

// TestArchitectureNames checks that the files, packages, functions, methods and types that the architecture page names
// exist.
func TestArchitectureNames(t *testing.T) {
	known := parseSources(t)
	checked := 0
	for _, quote := range quotedTexts(readPage(t, "ARCHITECTURE.md")) {
		if sourceFile.MatchString(quote) {
			checked++
			if _, err := os.Stat(filepath.Join(repositoryRoot, quote)); err != nil {
				t.Errorf("docs/ARCHITECTURE.md names the file %s, which does not exist", quote)
			}
			continue
		}
		name := codeName.FindStringSubmatch(quote)
		if name == nil {
			continue
		}
		checked++
		switch {
		case !known.packages[name[1]]:
			t.Errorf("docs/ARCHITECTURE.md names the package %s, which does not exist", name[1])
		case name[2] != "" && !known.names[quote]:
			t.Errorf("docs/ARCHITECTURE.md names %s, which is no function, method or type", quote)
		}
	}
	if checked == 0 {
		t.Error("docs/ARCHITECTURE.md names no file or identifier of the sources, so this test has checked nothing")
	}
}

// logMessage matches the message of a log line as the log prints it: msg=word or msg="some words".
var logMessage = regexp.MustCompile(`^msg=(?:"([^"]+)"|([^\s"]+))$`)

// logAttribute matches an attribute of a log line: key=value or key="some words".
var logAttribute = regexp.MustCompile(`^([a-z_]+)=(?:"[^"]*"|[^\s"]+)$`)

// logLineSections lists the sections of the operators' handbook in which log lines are looked up.
var logLineSections = []string{"Log lines that ask for action", "From symptom to cause"}

// TestQuotedLogLines checks that the sources write the log lines that the operators' handbook quotes, with the
// attributes that it quotes on the same line.
func TestQuotedLogLines(t *testing.T) {
	known := parseSources(t)
	page := readPage(t, "operations.md")
	for _, title := range logLineSections {
		if !strings.Contains(section(page, title), "`msg=") {
			t.Errorf("docs/operations.md quotes no log line under %q, so this test has checked nothing there", title)
		}
	}
	for _, row := range strings.Split(section(page, logLineSections[0]), "\n") {
		if strings.HasPrefix(row, "| `") && !strings.HasPrefix(row, "| `msg=") {
			t.Errorf("docs/operations.md, %q: expected a row that begins with msg=\"...\", found %s", logLineSections[0], row)
		}
	}
	for i, line := range strings.Split(page, "\n") {
		checkLogLines(t, known, i+1, line)
	}
}

// checkLogLines checks the log lines that one line of the page quotes.
func checkLogLines(t *testing.T, known sourceIndex, lineNumber int, line string) {
	t.Helper()
	var calls []logCall
	var attributes []string
	for _, quote := range quotedTexts(line) {
		if message := logMessage.FindStringSubmatch(quote); message != nil {
			text := message[1] + message[2]
			if len(known.logCalls[text]) == 0 {
				t.Errorf("docs/operations.md:%d: no logger in cmd or internal writes %q", lineNumber, text)
			}
			calls = append(calls, known.logCalls[text]...)
		} else if attribute := logAttribute.FindStringSubmatch(quote); attribute != nil {
			attributes = append(attributes, attribute[1])
		}
	}
	for _, key := range attributes {
		if len(calls) > 0 && !hasKey(calls, key) {
			t.Errorf("docs/operations.md:%d: no log line that this line quotes has the key %s", lineNumber, key)
		}
	}
}

func hasKey(calls []logCall, key string) bool {
	for _, call := range calls {
		if call.keys[key] {
			return true
		}
	}
	return false
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func quotedTexts(text string) []string {
	var out []string
	for _, match := range codeQuote.FindAllStringSubmatch(text, -1) {
		out = append(out, match[1])
	}
	return out
}

// section returns the text below a second-level heading, up to the next one.
func section(page, title string) string {
	_, rest, _ := strings.Cut(page, "\n## "+title+"\n")
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}
