// Package pagecheck holds only tests, which compare names and log lines quoted in the pages under docs with the
// sources. A rename or a changed log line thus fails a test instead of misleading readers during an incident.
package pagecheck
