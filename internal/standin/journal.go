package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// journalMode is the file mode of a journal.
const journalMode = 0o600

// JournalLine is one line of a journal.
type JournalLine struct {
	// AtNanos is the Unix time at which the line was written, in ns.
	AtNanos int64 `json:"at_ns"`
	Run     Run   `json:"run"`
}

// Journal is a file of runs that outlives a target that is killed.
type Journal struct{ file *os.File }

// OpenJournal opens a journal to append to. It returns the errors of the file system.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
	return &Journal{file: file}, err
}

// Write appends one line. A target that cannot record its runs panics, since a test would take its record for complete.
func (j *Journal) Write(run Run) {
	line, err := json.Marshal(JournalLine{AtNanos: time.Now().UnixNano(), Run: run})
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }

// ReadJournal returns the lines of a journal in order. A last line that a killed process did not finish is left out.
func ReadJournal(path string) ([]JournalLine, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var lines []JournalLine
	for text := range bytes.Lines(data) {
		if !bytes.HasSuffix(text, []byte("\n")) {
			break
		}
		var line JournalLine
		if err := json.Unmarshal(text, &line); err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}
