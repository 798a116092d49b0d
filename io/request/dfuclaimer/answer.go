package dfuclaimer

import (
	"bytes"
	"encoding/gob"

	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"
)

// encodeAnswer returns an answer as the machine keeps it.
func encodeAnswer(a *dfumessage.Answer) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(a); err != nil {
		return nil
	}
	return b.Bytes()
}

// verdictOf returns the verdict on a repeat that gets the first answer.
func verdictOf(r dfuclaim.Replay) dfuadmission.Verdict {
	var a dfumessage.Answer
	if err := gob.NewDecoder(bytes.NewReader(r.Answer)).Decode(&a); err != nil {
		return dfuadmission.Verdict{Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonAlreadyRun}
	}
	return dfuadmission.Verdict{Outcome: dfuoutcome.Answered, Reason: dfuoutcome.ReasonAlreadyRun, Answer: &a}
}
