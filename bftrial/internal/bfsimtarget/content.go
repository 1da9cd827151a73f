package bfsimtarget

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strings"
)

const (
	// BodySumHeader is the header with the SHA-256 of a request's body, for targets that check it.
	BodySumHeader = "X-Body-Sum"
	// maxContent is the size in bytes of the longest bodies.
	maxContent = 3 << 20
	// longShare is the share of requests with long bodies, one in so many.
	longShare = 32
)

// hash spreads the IDs of requests.
func hash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return h.Sum32()
}

// UploadBody returns the body of a request that uploads; most bodies are empty, some are long.
func UploadBody(id string) []byte {
	if hash(id)%longShare != 0 {
		return nil
	}
	size := int(hash(id+"size") % maxContent)
	return bytes.Repeat([]byte("upload of "+id+"\r\n\r\n"), 1+size/len(id))[:size]
}

// BodySum returns the value of BodySumHeader for a body.
func BodySum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// ResponseBody returns the expected response body of a request; some bodies are long.
func ResponseBody(id string) string {
	repeat := 1
	switch {
	case hash(id)%longShare == 1:
		repeat = 1 + int(hash(id+"size")%maxContent)/(len("answer to \n")+len(id))
	case strings.HasSuffix(id, "7"):
		repeat = 5000
	}
	return strings.Repeat("answer to "+id+"\n", repeat)
}
