// Package paging decides how many rows to request with each read of a long scan. It answers the
// load of many large rows behind a thin link, on which a full page takes longer than the timeout
// of the read, and would fail each time that it is repeated.
package paging
