/** How calls and replies of configuration delivery are written in HTTP/1.1: paths, queries, headers and JSON. No I/O. */
package pumicekeel.delivery.wire;
