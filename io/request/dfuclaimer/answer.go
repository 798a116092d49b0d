package dfuclaimer

import (
	"bytes"
	"encoding/gob"

	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"
)

// encodeAnswer encodes an answer with gob, the form in which the machine stores it.
// It returns nil if the answer can't be encoded.
func encodeAnswer(a *dfumessage.Answer) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(a); err != nil {
		return nil
	}
	return b.Bytes()
}

// replayResult returns the result of a repeated request, with the answer of the
// first run. The outcome is unknown if the answer can't be decoded.
func replayResult(r dfuclaim.Replay) dfuadmission.ClaimResult {
	var a dfumessage.Answer
	if err := gob.NewDecoder(bytes.NewReader(r.Answer)).Decode(&a); err != nil {
		return dfuadmission.ClaimResult{Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonAlreadyRun}
	}
	return dfuadmission.ClaimResult{Outcome: dfuoutcome.Answered, Reason: dfuoutcome.ReasonAlreadyRun, Answer: &a}
}
