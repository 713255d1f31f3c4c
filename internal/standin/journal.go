package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// journalMode is the file mode of a journal.
const journalMode = 0o600

// JournalLine is one line of a journal: a run when it started or when it ended.
type JournalLine struct {
	// AtNanos is the Unix time at which the line was written, in nanoseconds.
	AtNanos int64 `json:"at_ns"`
	Run     Run   `json:"run"`
}

// Journal is a file in which a target records its runs, so that they are known after the process was killed.
type Journal struct{ file *os.File }

// OpenJournal opens a journal for appending and creates it if necessary. It returns file system errors unchanged.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
	return &Journal{file: file}, err
}

// Write appends one line. It panics if the line cannot be written, because tests assume that the journal is complete.
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

// ReadJournal returns the lines of a journal in order. It omits an incomplete last line, which a killed process leaves.
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
