import io
import json
import os
import tempfile
import threading

import eliot
import testtools

from sniperudder import effects
from sniperudder import logs


class LogTestCase(testtools.TestCase):
    def open_log(self, instance='entry-1'):
        stream = io.StringIO()
        log = logs.create_log(stream, instance)
        self.addCleanup(logs.close_log, log)
        return log, stream

    def read_lines(self, stream):
        return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestLog(LogTestCase):
    def test_line_carries_its_place(self):
        _, stream = self.open_log()
        logs.write_note(effects.Note('endpoint:down', 'gpu-1', 'timeout'))
        logs.write_note(effects.Note('endpoint:up', 'gpu-1'), streams=3)
        first, second = self.read_lines(stream)
        self.assertEqual('entry-1', first['instance'])
        self.assertEqual([1, 2], [first['sequence'], second['sequence']])
        self.assertLess(first['clock'], second['clock'])
        self.assertEqual('timeout', first['detail'])
        self.assertEqual(3, second['streams'])
        self.assertLess(abs(first['timestamp'] * 1e6 - first['clock']), 1e7)

    def test_threads_share_it(self):
        _, stream = self.open_log()

        def write():
            for _ in range(200):
                logs.write_note(effects.Note('a:b', 'x\ny'))

        threads = [threading.Thread(target=write) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lines = self.read_lines(stream)
        self.assertEqual(
            list(range(1, 801)), [line['sequence'] for line in lines]
        )
        values = [line['clock'] for line in lines]
        self.assertEqual(sorted(set(values)), values)

    def test_closed_log_gets_no_more(self):
        stream = io.StringIO()
        logs.close_log(logs.create_log(stream, 'entry-1'))
        logs.write_note(effects.Note('a:b', 'x'))
        self.assertEqual('', stream.getvalue())

    def test_file_is_appended_to(self):
        handle, path = tempfile.mkstemp()
        os.close(handle)
        self.addCleanup(os.unlink, path)
        for _ in range(2):
            log = logs.create_log(path, 'entry-1')
            logs.write_note(effects.Note('a:b', 'x'))
            logs.close_log(log)
        with open(path, encoding='utf-8') as file:
            self.assertEqual(2, len(file.readlines()))


class TestTasks(LogTestCase):
    def test_task_goes_on_in_another_process(self):
        log, stream = self.open_log()
        with eliot.start_task(action_type='request'):
            text = logs.make_task(log)
        with logs.continue_task(log, text, 'step', subject='r-1'):
            pass
        lines = self.read_lines(stream)
        self.assertEqual(1, len({line['task_uuid'] for line in lines}))
        self.assertEqual('r-1', lines[2]['subject'])

    def test_clock_of_the_sender_is_observed(self):
        log, stream = self.open_log()
        task = '2baf742c-92e2-499e-ba16-c1adade50b7f@/4'
        ahead = 10**17
        with logs.continue_task(log, f'{task};{ahead}', 'step'):
            pass
        self.assertGreater(self.read_lines(stream)[0]['clock'], ahead)

    def test_malformed_text_starts_a_new_task(self):
        log, stream = self.open_log()
        for text in ('', None, 'x', '@/1;1', 'é' * 36 + '@/1;1', 'a' * 9999):
            with logs.continue_task(log, text, 'step'):
                pass
        tasks = {line['task_uuid'] for line in self.read_lines(stream)}
        self.assertEqual(6, len(tasks))

    def test_no_text_outside_of_actions(self):
        log, _ = self.open_log()
        self.assertEqual('', logs.make_task(log))
