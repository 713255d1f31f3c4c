package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// statusCancelled is the status of a run that was cancelled.
const statusCancelled = 499

// maxFill bounds the filling of an answer, in bytes.
const maxFill = 16 << 20

// ResponseBody is the body of a target's answer. A query parameter fill=N adds N bytes to it.
type ResponseBody struct {
	RequestID string         `json:"request_id"`
	Attempt   string         `json:"attempt"`
	Target    model.TargetID `json:"target"`
	// BodySum is the checksum of the request's body.
	BodySum uint64 `json:"body_sum,string"`
	Fill    string `json:"fill,omitempty"`
	// Sum is the checksum of all other fields.
	Sum uint64 `json:"sum,string"`
}

func (a ResponseBody) sum() uint64 {
	parts := []string{a.RequestID, a.Attempt, string(a.Target), strconv.FormatUint(a.BodySum, 10), a.Fill}
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// VerifyResponse returns an error unless answer is whole and belongs to the request with this ID and body.
func VerifyResponse(answer []byte, requestID string, requestBody []byte) error {
	var decoded ResponseBody
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return err
	}
	if decoded.Sum != decoded.sum() {
		return errors.New("answer is damaged")
	}
	if decoded.RequestID != requestID || decoded.BodySum != xxhash.Sum64(requestBody) {
		return errors.New("answer belongs to another request")
	}
	return nil
}

func (t *Target) setHeaders(w http.ResponseWriter, r *http.Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.limit()
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	w.Header().Set(target.HeaderIncarnation, strconv.FormatUint(uint64(t.incarnation), 10))
	if t.cold {
		w.Header().Set(target.HeaderCold, "1")
	}
}

func (t *Target) refuse(w http.ResponseWriter, r *http.Request, reason target.RefusalReason) {
	t.mutex.Lock()
	t.refused[reason]++
	t.mutex.Unlock()
	t.waitThawed(r)
	w.Header().Set(target.HeaderNotRun, string(reason))
	writeJSON(w, refusalStatus[reason], struct{}{})
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, body []byte, outcome Outcome) {
	fill, err := strconv.Atoi(r.URL.Query().Get("fill"))
	if err != nil {
		fill = 0
	}
	reply := ResponseBody{
		RequestID: r.Header.Get(RequestIDHeader),
		Attempt:   r.Header.Get(target.HeaderAttempt),
		Target:    t.options.ID,
		BodySum:   xxhash.Sum64(body),
		Fill:      strings.Repeat("x", min(max(fill, 0), maxFill)),
	}
	reply.Sum = reply.sum()
	status := http.StatusOK
	if outcome == RunCancelled {
		status = statusCancelled
	}
	writeJSON(w, status, reply)
}

// parseTerm parses a term as epoch.rank.
func parseTerm(text string) (model.Term, bool) {
	epochText, rankText, found := strings.Cut(text, ".")
	epoch, epochErr := strconv.ParseUint(epochText, 10, 64)
	rank, rankErr := strconv.ParseUint(rankText, 10, 16)
	ok := found && epochErr == nil && rankErr == nil
	return model.Term{Epoch: model.Offset(epoch), Rank: uint16(rank)}, ok
}
