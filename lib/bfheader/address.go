package bfheader

import (
	"net"
	"strconv"
)

// IsAddress reports whether text is a host and a port that can be dialled.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
