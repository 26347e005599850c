#pragma once

namespace laburnumledge::http {

struct Request;
struct Reply;
struct Call;
struct Response;
class Server;
class Client;

}  // namespace laburnumledge::http
