// Package dfuserver serves HTTP/1.1 connections. The pipelined requests of a connection
// are handled concurrently, and their responses are written in the order of the
// requests. Requests are parsed by fasthttp. core/connection/dfupipeline decides the
// order and when a connection ends.
package dfuserver
