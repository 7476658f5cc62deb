import io
import json
import os
import tempfile
import threading

import eliot
import testtools

from sniperudder import effects
from sniperudder import logs
from sniperudder.logs import _writer


class LogTestCase(testtools.TestCase):
    def open_log(self, instance='entry-1'):
        log = logs.create_log(io.StringIO(), instance)
        self.addCleanup(logs.close_log, log)
        return log

    def read_lines(self, log):
        """Close the log, so that all lines are written, and parse them."""
        logs.close_log(log)
        lines = log.stream.getvalue().splitlines()
        return [json.loads(line) for line in lines]


class TestLog(LogTestCase):
    def test_line_has_instance_sequence_clock_and_timestamp(self):
        log = self.open_log()
        logs.write_event(effects.LogEvent('endpoint:down', 'gpu-1', 'timeout'))
        logs.write_event(effects.LogEvent('endpoint:up', 'gpu-1'), streams=3)
        first, second = self.read_lines(log)
        self.assertEqual('entry-1', first['instance'])
        self.assertEqual([1, 2], [first['sequence'], second['sequence']])
        self.assertLess(first['clock'], second['clock'])
        self.assertEqual('timeout', first['detail'])
        self.assertEqual(3, second['streams'])
        self.assertLess(abs(first['timestamp'] * 1e6 - first['clock']), 1e7)

    def test_concurrent_threads_get_ordered_lines(self):
        log = self.open_log()

        def write():
            for _ in range(200):
                logs.write_event(effects.LogEvent('a:b', 'x\ny'))

        threads = [threading.Thread(target=write) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lines = self.read_lines(log)
        self.assertEqual(
            list(range(1, 801)), [line['sequence'] for line in lines]
        )
        values = [line['clock'] for line in lines]
        self.assertEqual(sorted(set(values)), values)

    def test_closed_log_receives_no_lines(self):
        stream = io.StringIO()
        logs.close_log(logs.create_log(stream, 'entry-1'))
        logs.write_event(effects.LogEvent('a:b', 'x'))
        self.assertEqual('', stream.getvalue())

    def test_existing_file_is_appended_to(self):
        handle, path = tempfile.mkstemp()
        os.close(handle)
        self.addCleanup(os.unlink, path)
        for _ in range(2):
            log = logs.create_log(path, 'entry-1')
            logs.write_event(effects.LogEvent('a:b', 'x'))
            logs.close_log(log)
        with open(path, encoding='utf-8') as file:
            self.assertEqual(2, len(file.readlines()))

    def test_stalled_reader_does_not_block_writers(self):
        stream = _StalledStream()
        writer = _writer.LineWriter(stream, max_buffered_lines=100)
        writer.write_line('first')
        self.assertTrue(stream.write_started.wait(10))
        for number in range(500):
            writer.write_line(str(number))
        stream.resume.set()
        self.assertTrue(writer.close())
        lines = stream.getvalue().splitlines()
        drop_notice = '{"message_type": "log:dropped", "lines": 400}'
        self.assertEqual(['first', *map(str, range(100)), drop_notice], lines)

    def test_failing_stream_does_not_block_writers(self):
        log = logs.create_log(_BrokenStream(), 'entry-1')
        for _ in range(3):
            logs.write_event(effects.LogEvent('a:b', 'x'))
        self.assertTrue(log.writer.close())
        logs.close_log(log)


class _StalledStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.write_started = threading.Event()
        self.resume = threading.Event()

    def write(self, text):
        self.write_started.set()
        self.resume.wait(10)
        return super().write(text)


class _BrokenStream(io.StringIO):
    def write(self, text):
        raise OSError('no space left')


class TestTasks(LogTestCase):
    def test_task_continues_in_another_process(self):
        log = self.open_log()
        with eliot.start_task(action_type='request'):
            text = logs.serialize_task(log)
        with logs.continue_task(log, text, 'step', subject='r-1'):
            pass
        lines = self.read_lines(log)
        self.assertEqual(1, len({line['task_uuid'] for line in lines}))
        self.assertEqual('r-1', lines[2]['subject'])

    def test_clock_value_of_sender_is_observed(self):
        log = self.open_log()
        task = '2baf742c-92e2-499e-ba16-c1adade50b7f@/4'
        ahead = 10**17
        with logs.continue_task(log, f'{task};{ahead}', 'step'):
            pass
        self.assertGreater(self.read_lines(log)[0]['clock'], ahead)

    def test_malformed_text_starts_a_new_task(self):
        log = self.open_log()
        for text in ('', None, 'x', '@/1;1', 'é' * 36 + '@/1;1', 'a' * 9999):
            with logs.continue_task(log, text, 'step'):
                pass
        tasks = {line['task_uuid'] for line in self.read_lines(log)}
        self.assertEqual(6, len(tasks))

    def test_serialized_task_is_empty_outside_of_actions(self):
        log = self.open_log()
        self.assertEqual('', logs.serialize_task(log))
