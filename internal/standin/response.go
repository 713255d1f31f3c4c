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

// statusCanceled is the status of the response to a canceled run.
const statusCanceled = 499

// maxFill limits the padding of a response, in bytes.
const maxFill = 16 << 20

// ResponseBody is the body of a target's response. The query parameter fill=N of a request adds N bytes of padding.
type ResponseBody struct {
	RequestID string         `json:"request_id"`
	Attempt   string         `json:"attempt"`
	Target    model.TargetID `json:"target"`
	// BodySum is the checksum of the request body.
	BodySum uint64 `json:"body_sum,string"`
	Fill    string `json:"fill,omitempty"`
	// Sum is the checksum of all other fields.
	Sum uint64 `json:"sum,string"`
}

func (b ResponseBody) sum() uint64 {
	parts := []string{b.RequestID, b.Attempt, string(b.Target), strconv.FormatUint(b.BodySum, 10), b.Fill}
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// VerifyResponse returns an error unless response is intact and belongs to the request with this ID and body.
func VerifyResponse(response []byte, requestID string, requestBody []byte) error {
	var decoded ResponseBody
	if err := json.Unmarshal(response, &decoded); err != nil {
		return err
	}
	if decoded.Sum != decoded.sum() {
		return errors.New("response is corrupt")
	}
	if decoded.RequestID != requestID || decoded.BodySum != xxhash.Sum64(requestBody) {
		return errors.New("response belongs to another request")
	}
	return nil
}

func (t *Target) setHeaders(w http.ResponseWriter, r *http.Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.concurrencyLimit() // ends the cold start if the ramp is complete
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
	t.waitWhileFrozen(r)
	w.Header().Set(target.HeaderNotRun, string(reason))
	writeJSON(w, refusalStatus[reason], struct{}{})
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, body []byte, outcome Outcome) {
	fill, err := strconv.Atoi(r.URL.Query().Get("fill"))
	if err != nil {
		fill = 0
	}
	response := ResponseBody{
		RequestID: r.Header.Get(RequestIDHeader),
		Attempt:   r.Header.Get(target.HeaderAttempt),
		Target:    t.options.ID,
		BodySum:   xxhash.Sum64(body),
		Fill:      strings.Repeat("x", min(max(fill, 0), maxFill)),
	}
	response.Sum = response.sum()
	status := http.StatusOK
	if outcome == RunCanceled {
		status = statusCanceled
	}
	writeJSON(w, status, response)
}

// parseTerm parses a term in the form epoch.rank.
func parseTerm(text string) (model.Term, bool) {
	epochText, rankText, found := strings.Cut(text, ".")
	epoch, epochErr := strconv.ParseUint(epochText, 10, 64)
	rank, rankErr := strconv.ParseUint(rankText, 10, 16)
	ok := found && epochErr == nil && rankErr == nil
	return model.Term{Epoch: model.Offset(epoch), Rank: uint16(rank)}, ok
}
