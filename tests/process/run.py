"""Process tests of the nodes: real processes, signals and dropped connections."""
import hashlib
import json
import pathlib
import signal
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from cluster import BIN, Cluster, http_request, wait_until  # noqa: E402

import subprocess  # noqa: E402

cluster = Cluster()
TOKENS = 60


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def setUpModule():
    cluster.up()


def tearDownModule():
    cluster.down()


class CallerTests(unittest.TestCase):
    def test_stream_arrives_chunk_by_chunk(self):
        stream = cluster.stream("chunk by chunk", 200)
        stream.read(1)
        leader = cluster.leader_of(stream.last_id.split(".")[2])
        report = http_request(leader["address"], "GET", "/v1/report").json()
        self.assertGreaterEqual(report["running"], 1, "the engine must still be generating")
        self.assertTrue(stream.read_to_end().done)

    def test_whole_answer_has_the_text_of_the_stream(self):
        response = http_request(cluster.node()["address"], "POST",
                                f"/services/{cluster.model}/v1/chat/completions",
                                json.dumps(cluster.chat_body("whole", 10, False)),
                                cluster.headers())
        self.assertEqual(response.status, 200)
        message = response.json()["choices"][0]["message"]
        self.assertEqual(message["content"], cluster.stream("whole", 10).read_to_end().text)

    def test_bad_requests_get_specific_errors(self):
        chat = f"/services/{cluster.model}/v1/chat/completions"
        key = cluster.headers()
        rows = [
            ("POST", "/services/nobody/v1/x", "{}", key, 404, "unknown-service"),
            ("POST", chat, "{", key, 400, "bad-json"),
            ("POST", chat, "{}", key, 400, "missing-field"),
            ("POST", chat, "x" * (5 * 1024 * 1024), key, 413, "body-too-large"),
            ("POST", chat, "{}", {**key, "X-Long": "x" * 20000}, 431, "headers-too-large"),
            ("POST", chat, "{}", {}, 401, "no-key"),
            ("POST", chat, "{}", {"Authorization": "Bearer wrong"}, 401, "wrong-key"),
            ("POST", chat, "{}", {**key, "Camphorlug-Class": "x"}, 400, "unknown-class"),
            ("POST", chat, "{}", {**key, "Camphorlug-Deadline-Ms": "x"}, 400, "bad-deadline"),
            ("GET", "/nothing", None, key, 404, "unknown-path"),
        ]
        for method, path, body, headers, status, kind in rows:
            with self.subTest(kind=kind):
                response = http_request(cluster.node()["address"], method, path, body, headers)
                self.assertEqual(response.status, status)
                self.assertEqual(response.json()["type"], kind)
        self.assertEqual(cluster.call_plain("/title-cards/1").status, 200)

    def test_entries_name_all_nodes_nearest_first(self):
        response = http_request(cluster.node()["address"], "GET",
                                "/v1/entries?data_centre=kingston-2").json()
        self.assertEqual(len(response["entries"]), 6)
        self.assertEqual([each["data_centre"] for each in response["entries"][:2]],
                         ["kingston-2"] * 2)
        self.assertGreater(response["valid_for_ms"], 0)


class StreamFaultTests(unittest.TestCase):
    def stream_during_fault(self, kind, prompt, **parameters):
        expected_text = cluster.stream(prompt, TOKENS).read_to_end().text
        stream = cluster.stream(prompt, TOKENS)
        stream.read(10)
        leader = cluster.leader_of(stream.last_id.split(".")[2])
        cluster.inject_fault(leader, kind, **parameters)
        stream.read_to_end()
        self.assertTrue(stream.done)
        self.assertEqual(stream.text, expected_text)
        return leader

    def test_silent_connection_is_resumed(self):
        cluster.clear_faults(self.stream_during_fault("silent", "silent", seconds=30))

    def test_crossed_events_are_never_forwarded(self):
        cluster.clear_faults(self.stream_during_fault("cross", "crossed", seconds=30))

    def test_stream_fails_over_from_a_frozen_leader(self):
        self.stream_during_fault("freeze", "frozen", seconds=4)
        wait_until(lambda: len(cluster.routable_groups()) >= 5, "all groups are routable")

    def test_leaving_leader_finishes_and_gets_no_new_requests(self):
        stream = cluster.stream("leaving", 300)
        stream.read(5)
        leader = cluster.leader_of(stream.last_id.split(".")[2])
        cluster.inject_fault(leader, "leave", seconds=20)

        def not_routable_anywhere():
            return all(leader["id"] not in group["members"]
                       for node in range(4) for group in cluster.routable_groups(node))
        wait_until(not_routable_anywhere, "no node routes to the leaving leader")
        before = len(cluster.log(leader)["executed"])
        for index in range(30):
            cluster.stream(f"after {index}", 1).read_to_end()
        self.assertEqual(len(cluster.log(leader)["executed"]), before)
        self.assertTrue(stream.read_to_end().done)
        self.assertEqual(stream.text, cluster.stream("leaving", 300).read_to_end().text)
        cluster.clear_faults(leader)

    def test_killed_node_stream_resumes_with_last_event_id(self):
        expected_text = cluster.stream("killed node", TOKENS).read_to_end().text
        first = cluster.stream("killed node", TOKENS, node=4)
        first.read(10)
        cluster.signal(cluster.node(4))
        first.close()
        second = cluster.stream("killed node", TOKENS, node=1,
                                **{"Last-Event-ID": first.last_id}).read_to_end()
        self.assertEqual(second.status, 200)
        self.assertEqual(first.text + second.text, expected_text)

    def test_killed_leader_is_replaced_and_its_group_repaired(self):
        leader = self.stream_during_fault("die", "killed leader")
        wait_until(lambda: len(cluster.routable_groups()) >= 5, "the group is repaired")
        for group in cluster.routable_groups():
            self.assertNotIn(leader["id"], group["members"])


class PlainFaultTests(unittest.TestCase):
    def tearDown(self):
        for target in cluster.plain_targets():
            cluster.clear_faults(target)

    def test_late_response_to_an_order_is_unknown_and_ran_once(self):
        for target in cluster.plain_targets():
            cluster.inject_fault(target, "late", seconds=60, milliseconds=4000)
        response = cluster.call_plain("/orders/1", "late order")
        self.assertEqual((response.status, response.outcome), (502, "unknown"))
        self.assertEqual(cluster.executions(sha256("late order")), 1)

    def test_crossed_response_to_an_order_is_unknown(self):
        for target in cluster.plain_targets():
            cluster.inject_fault(target, "cross", seconds=60)
        response = cluster.call_plain("/orders/2", "crossed order")
        self.assertEqual((response.status, response.outcome), (502, "unknown"))
        self.assertEqual(cluster.executions(sha256("crossed order")), 1)

    def test_refused_order_is_not_run(self):
        for target in cluster.plain_targets():
            cluster.inject_fault(target, "refuse", seconds=60)
        response = cluster.call_plain("/orders/3", "refused order")
        self.assertEqual((response.status, response.outcome), (503, "not-run"))
        self.assertEqual(cluster.executions(sha256("refused order")), 0)

    def test_same_key_through_two_nodes_runs_once(self):
        headers = {"Idempotency-Key": "process-key"}
        first = cluster.call_plain("/orders/4", "keyed order", node=0, **headers)
        second = cluster.call_plain("/orders/4", "keyed order", node=1, **headers)
        self.assertEqual(first.status, 200)
        self.assertEqual(second.body, first.body)
        self.assertEqual(cluster.executions(sha256("keyed order")), 1)

    def test_platform_down_refuses_a_keyed_order_as_not_run(self):
        platform = cluster.topology["platform"]
        cluster.inject_fault(platform, "down", seconds=60)
        try:
            response = cluster.call_plain("/orders/5", "store down",
                                          **{"Idempotency-Key": "store-down"})
            plain = cluster.call_plain("/title-cards/5")
        finally:
            cluster.clear_faults(platform)
        self.assertEqual((response.status, response.outcome), (503, "not-run"))
        self.assertEqual(cluster.executions(sha256("store down")), 0)
        self.assertEqual(plain.status, 200)


class OperatorTests(unittest.TestCase):
    def test_second_of_two_edits_shows_the_author_and_keeps_its_text(self):
        service = cluster.plain
        text = cluster.operator(f"services/{service}")["text"]
        number = cluster.operator(f"services/{service}")["number"]
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "mine.toml"
            file.write_text(text + "# mine\n")
            pathlib.Path(f"{file}.seen").write_text(str(number))
            body = json.dumps({"text": text + "# theirs\n", "seen_number": number,
                               "edit_id": "theirs"})
            cluster.operator(f"services/{service}", node=1, method="PUT", body=body)
            result = cluster.ctl("service", "apply", service, str(file))
            self.assertEqual(result.returncode, 3)
            self.assertIn("on-call", result.stdout)
            self.assertIn("+ # mine", result.stdout)
            self.assertIn("# mine", file.read_text())

    def test_edit_is_active_on_every_live_node(self):
        service = cluster.model
        before = cluster.operator(f"services/{service}")
        body = json.dumps({"text": before["text"] + "# more\n", "seen_number": before["number"],
                           "edit_id": "in-force"})
        cluster.operator(f"services/{service}", method="PUT", body=body)

        def active_on_all_nodes():
            return all(cluster.operator(f"services/{service}", node=index)["number"]
                       > before["number"] for index in (0, 1, 2))
        wait_until(active_on_all_nodes, "the new version is active")

    def test_invalid_document_reports_line_and_key(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write('service = "x"\npool = 7\n')
            file.flush()
            result = cluster.ctl("service", "check", file.name)
        self.assertEqual(result.returncode, 2)
        self.assertIn("line 2: pool = 7", result.stdout)

    def test_output_fits_forty_columns(self):
        for arguments in (["status"], ["groups"], ["service", "list"]):
            for line in cluster.ctl(*arguments).stdout.splitlines():
                self.assertLessEqual(len(line), 40, line)

    def test_invalid_settings_exit_the_daemon_with_code_two(self):
        rows = [("", "id is missing"), ('id = 7\n', "id = 7"), ('idd = "x"\n', "idd = "),
                ('id = "x"\nentries_valid_for_ms = 1\n', "entries_valid_for_ms = 1"),
                ('peer_key = "short"\n', "peer_key = (hidden)")]
        for text, expected in rows:
            with self.subTest(expected=expected), \
                    tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
                file.write(text)
                file.flush()
                result = subprocess.run([str(BIN / "camphorlugd"), f"--settings={file.name}"],
                                        capture_output=True, text=True)
                self.assertEqual(result.returncode, 2)
                self.assertIn(expected, result.stderr)
                self.assertNotIn("short", result.stderr)


class ZShutdownTests(unittest.TestCase):
    """Stops nodes. The name makes unittest run this class last."""

    def tally(self, load):
        output, _ = load.communicate()
        return json.loads(output)[0]

    def test_terminated_node_drains_and_refuses_no_requests(self):
        load = cluster.load(8, 1200, entries=[cluster.node(2)["address"]])
        # The signal must arrive while the load runs; this wait does not check that.
        wait_until(lambda: len(cluster.groups()) > 0, "the nodes report groups")
        cluster.signal(cluster.node(2), signal.SIGTERM)
        cluster.signal(cluster.node(2), signal.SIGTERM)
        tally = self.tally(load)
        self.assertGreater(tally["sent"], 50)
        self.assertEqual(tally["answered"], tally["sent"])

    def test_unclean_kill_loses_no_idempotent_requests(self):
        load = cluster.load(8, 1200)
        # The signal must arrive while the load runs; this wait does not check that.
        wait_until(lambda: len(cluster.groups()) > 0, "the nodes report groups")
        cluster.signal(cluster.node(5))
        tally = self.tally(load)
        self.assertGreater(tally["sent"], 50)
        self.assertEqual(tally["answered"], tally["sent"])


if __name__ == "__main__":
    unittest.main(verbosity=2)
